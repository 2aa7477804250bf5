#include "relay/leaving_servers.h"

namespace vanillatiller {

bool LeavingServers::Add(const ServerIncarnation& server, TimePoint now) {
  std::erase_if(m_marks, [now](const auto& item) {
    return now - item.second.added >= kLifetime;
  });
  const bool is_known = Contains(server.id, server.started_ms);
  Mark& mark = m_marks[server.id];
  mark.added = now;
  if (!is_known) mark.started_ms = server.started_ms;
  return !is_known;
}

bool LeavingServers::Contains(std::string_view id, uint64_t started_ms) const {
  const auto found = m_marks.find(id);
  return found != m_marks.end() && started_ms <= found->second.started_ms;
}

}  // namespace vanillatiller
