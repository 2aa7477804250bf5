#ifndef VANILLATILLER_SOURCE_SPREAD_MESSAGES_H_
#define VANILLATILLER_SOURCE_SPREAD_MESSAGES_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "base/base.h"
#include "spread/config_value.h"

namespace vanillatiller {

enum class ServiceStatus : uint8_t {
  kValue = 1,
  kNotModified = 2,
  kUnavailable = 3,
  kRateLimited = 4,
};

struct ServiceAnswer {
  ServiceStatus status = ServiceStatus::kUnavailable;
  // The value; set only with kValue.
  std::string text;
};

// The stamp that a peer reported for its value in an exchange or a fetch.
struct PeerStamp {
  std::string vm;
  std::string address;
  std::string failure_domain;
  ConfigStamp stamp;
  bool confirmed = false;
};

// Requests the deltas that lead from `have` to the peer's value, or the full
// value.
struct FetchRequest {
  ConfigStamp have;
};

struct FetchAnswer {
  ConfigStamp stamp;
  bool confirmed = false;
  // Deltas from the requested base to `stamp`, oldest first.
  std::vector<std::string> deltas;
  // The full value; empty if `deltas` is set or the peer has no newer value.
  std::string value;
};

struct WatchService {
  uint64_t after_version = 0;
  Duration wait{};
};

struct FetchFromPeer {
  std::string vm;
  std::string address;
  FetchRequest request;
  Duration timeout{};
};

// Replaces the value in force.
struct PutInForce {
  std::shared_ptr<const ConfigValue> value;
};

// Reports two different values with the same version. To resolve the conflict,
// operators must publish a higher version.
struct ReportConflict {
  ConfigStamp in_force;
  ConfigStamp other;
  // "service" or the name of a VM.
  std::string source;
};

// Reports a value that was rejected as a whole.
struct ReportRefusedValue {
  Reason reason;
  std::string source;
};

using SpreadAction = std::variant<WatchService, FetchFromPeer, PutInForce,
                                  ReportConflict, ReportRefusedValue>;
using SpreadActions = std::vector<SpreadAction>;

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_SPREAD_MESSAGES_H_
