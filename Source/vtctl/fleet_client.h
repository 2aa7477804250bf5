#ifndef VANILLATILLER_SOURCE_VTCTL_FLEET_CLIENT_H_
#define VANILLATILLER_SOURCE_VTCTL_FLEET_CLIENT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"

namespace vanillatiller {

// Fleet configuration that is in force on one node.
struct NodeConfig {
  uint64_t version = 0;
  Sha256Digest digest{};
  bool confirmed = false;
  // The configuration in TOML.
  std::string value;
  // Not empty if the node received the same version with a different digest.
  std::string conflict;
};

struct DrainResult {
  bool accepted = false;
  uint32_t in_flight = 0;
};

// Client of the Operator service of nodes. Each call returns nullopt and sets
// `reason` if the node does not answer.
class FleetClient {
 public:
  virtual ~FleetClient() = default;

  // Returns the JSON of one part: "summary", "members", "histograms" or
  // "edges".
  virtual std::optional<std::string> GetStatus(const std::string& node,
                                               const std::string& part,
                                               Reason* reason) = 0;
  virtual std::optional<NodeConfig> GetConfig(const std::string& node,
                                              Reason* reason) = 0;
  virtual std::optional<DrainResult> Drain(const std::string& node,
                                           const std::string& drain_reason,
                                           Reason* reason) = 0;
  // Commands use only this clock, so that tests can simulate time.
  virtual TimePoint Now() = 0;
  virtual void Sleep(Duration duration) = 0;
};

// Calls `work` once for each index below `count`, on several threads. Returns
// after the last call.
void ForEachInParallel(size_t count, const std::function<void(size_t)>& work);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTCTL_FLEET_CLIENT_H_
