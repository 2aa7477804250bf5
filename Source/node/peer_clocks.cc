#include "node/peer_clocks.h"

namespace vanillatiller {

void PeerClocks::Observe(const std::string& address, const LoadReport& load,
                         TimePoint now) {
  if (load.incarnation == 0 || load.clock == TimePoint()) return;
  const std::lock_guard lock(m_mutex);
  m_clocks[address].Observe(load.incarnation, load.clock, now);
}

bool PeerClocks::SetCalleeDeadline(const std::string& address,
                                   CallContext* context) const {
  const std::lock_guard lock(m_mutex);
  const auto found = m_clocks.find(address);
  if (found == m_clocks.end()) return false;
  const PeerClock& clock = found->second;
  if (context->callee_incarnation > clock.CurrentIncarnation()) return false;
  // Rounds down to microseconds, the resolution of the wire format, because a
  // later fence must carry exactly the same deadline.
  const TimePoint deadline = *clock.ToPeerTime(context->deadline);
  context->not_after = std::chrono::floor<std::chrono::microseconds>(deadline);
  context->callee_incarnation = clock.CurrentIncarnation();
  return true;
}

}  // namespace vanillatiller
