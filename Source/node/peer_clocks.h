#ifndef VANILLATILLER_SOURCE_NODE_PEER_CLOCKS_H_
#define VANILLATILLER_SOURCE_NODE_PEER_CLOCKS_H_

#include <mutex>
#include <string>
#include <unordered_map>

#include "base/base.h"
#include "execution/execution.h"
#include "node/call_answer.h"

namespace vanillatiller {

// Incarnations and clock estimates of the peers that this node calls, by
// address. Thread-safe.
class PeerClocks {
 public:
  // Processes the clock reading in a load report that was received at `now`.
  void Observe(const std::string& address, const LoadReport& load,
               TimePoint now);

  // Sets the incarnation of the callee and the deadline converted to its clock.
  // Returns false and leaves `context` unchanged if there is no estimate of the
  // peer's clock, or only one for an older incarnation than `context` requires.
  bool SetCalleeDeadline(const std::string& address,
                         CallContext* context) const;

  // Removes the peers for which `is_member` returns false.
  template <typename Predicate>
  void Retain(Predicate is_member) {
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_clocks,
                  [&](const auto& entry) { return !is_member(entry.first); });
  }

 private:
  mutable std::mutex m_mutex;
  std::unordered_map<std::string, PeerClock> m_clocks;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_PEER_CLOCKS_H_
