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
  // The value, with kValue.
  std::string text;
};

// What a peer said about its value, in an exchange or a fetch.
struct PeerStamp {
  std::string vm;
  std::string address;
  std::string failure_domain;
  ConfigStamp stamp;
  bool confirmed = false;
};

// What a peer is asked for: deltas from this value on, or the full value.
struct FetchRequest {
  ConfigStamp have;
};

struct FetchAnswer {
  ConfigStamp stamp;
  bool confirmed = false;
  // Deltas from the requested base to `stamp`, oldest first.
  std::vector<std::string> deltas;
  // The full value; empty if deltas lead there or the peer has nothing newer.
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

// The value to use from now on.
struct PutInForce {
  std::shared_ptr<const ConfigValue> value;
};

// Two values have the same version; operators must publish a higher one.
struct ReportConflict {
  ConfigStamp in_force;
  ConfigStamp other;
  // "service" or the name of a VM.
  std::string source;
};

// A value was refused whole.
struct ReportRefusedValue {
  Reason reason;
  std::string source;
};

using SpreadAction = std::variant<WatchService, FetchFromPeer, PutInForce,
                                  ReportConflict, ReportRefusedValue>;
using SpreadActions = std::vector<SpreadAction>;

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_SPREAD_MESSAGES_H_
