#ifndef VANILLATILLER_SOURCE_NODE_PEER_CLOCKS_H_
#define VANILLATILLER_SOURCE_NODE_PEER_CLOCKS_H_

#include <mutex>
#include <string>
#include <unordered_map>

#include "base/base.h"
#include "execution/execution.h"
#include "node/call_answer.h"

namespace vanillatiller {

// Incarnations and clocks of the peers that this node calls, by address. Safe
// to use from several threads.
class PeerClocks {
 public:
  void Observe(const std::string& address, const LoadReport& load,
               TimePoint now);

  // Sets the callee's incarnation and the deadline on its clock. False, with
  // the context unchanged, if the peer's clock is not known, or not for the
  // incarnation that the context names.
  bool SetCalleeDeadline(const std::string& address,
                         CallContext* context) const;

  // Drops the peers that `is_member` refuses.
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
