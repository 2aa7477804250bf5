#ifndef VANILLATILLER_SOURCE_VTCTL_FLEET_CLIENT_H_
#define VANILLATILLER_SOURCE_VTCTL_FLEET_CLIENT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"

namespace vanillatiller {

// What one node has in force.
struct NodeConfig {
  uint64_t version = 0;
  Sha256Digest digest{};
  bool confirmed = false;
  // The value in TOML.
  std::string value;
  // Not empty if the node saw an equal version with another digest.
  std::string conflict;
};

struct DrainResult {
  bool accepted = false;
  uint32_t in_flight = 0;
};

// Calls to the Operator service of nodes. Each function gives nullopt and a
// reason if the node gave no answer.
class FleetClient {
 public:
  virtual ~FleetClient() = default;

  // JSON of one part: "summary", "members", "histograms" or "edges".
  virtual std::optional<std::string> GetStatus(const std::string& node,
                                               const std::string& part,
                                               Reason* reason) = 0;
  virtual std::optional<NodeConfig> GetConfig(const std::string& node,
                                              Reason* reason) = 0;
  virtual std::optional<DrainResult> Drain(const std::string& node,
                                           const std::string& drain_reason,
                                           Reason* reason) = 0;
  // Time passes only here, so that tests need not wait.
  virtual TimePoint Now() = 0;
  virtual void Sleep(Duration duration) = 0;
};

// Calls `work` with every index below `count`, several at a time.
void ForEachInParallel(size_t count, const std::function<void(size_t)>& work);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTCTL_FLEET_CLIENT_H_
