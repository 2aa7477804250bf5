#include "routing/connection_monitor.h"

namespace vanillatiller {

ConnectionMonitor::Builder& ConnectionMonitor::Builder::SilenceTimeout(
    Duration time) {
  m_silence_timeout = time;
  return *this;
}

ConnectionMonitor::Builder& ConnectionMonitor::Builder::ProbeInterval(
    Duration time) {
  m_probe_interval = time;
  return *this;
}

ConnectionMonitor ConnectionMonitor::Builder::Build() const {
  return ConnectionMonitor(*this);
}

ConnectionMonitor::ConnectionMonitor(const Builder& builder)
    : m_silence_timeout(builder.m_silence_timeout),
      m_probe_interval(builder.m_probe_interval) {}

void ConnectionMonitor::OnSent(std::string_view address, TimePoint now) {
  Connection& connection = Find(address);
  if (connection.outstanding == 0) connection.progress_at = now;
  ++connection.outstanding;
}

void ConnectionMonitor::OnProgress(std::string_view address, TimePoint now) {
  Find(address).progress_at = now;
}

void ConnectionMonitor::OnEnded(std::string_view address) {
  Connection& connection = Find(address);
  if (connection.outstanding > 0) --connection.outstanding;
}

std::vector<ConnectionAction> ConnectionMonitor::OnTick(TimePoint now) {
  std::vector<ConnectionAction> actions;
  for (auto& [address, connection] : m_connections) {
    if (connection.outstanding == 0 || connection.probing) continue;
    if (now - connection.progress_at < m_silence_timeout) continue;
    if (connection.probed_at &&
        now - *connection.probed_at < m_probe_interval) {
      continue;
    }
    connection.probing = true;
    connection.probed_at = now;
    actions.push_back({ConnectionAction::Kind::kProbe, address});
  }
  return actions;
}

std::optional<ConnectionAction> ConnectionMonitor::OnProbeResult(
    std::string_view address, bool open_answered, bool new_answered,
    TimePoint now) {
  Connection& connection = Find(address);
  connection.probing = false;
  if (open_answered) {
    connection.progress_at = now;
    return std::nullopt;
  }
  const auto kind = new_answered ? ConnectionAction::Kind::kReplace
                                 : ConnectionAction::Kind::kUnreachable;
  return ConnectionAction{kind, std::string(address)};
}

ConnectionMonitor::Connection& ConnectionMonitor::Find(
    std::string_view address) {
  const auto found = m_connections.find(address);
  if (found != m_connections.end()) return found->second;
  return m_connections.emplace(std::string(address), Connection{})
      .first->second;
}

}  // namespace vanillatiller
