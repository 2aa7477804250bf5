#include "relay/server_rate_tracker.h"

namespace vanillatiller {

bool ServerRateTracker::OnAnswer(std::optional<double> rate,
                                 std::string_view request_id, TimePoint sent,
                                 TimePoint now) {
  m_was_answered = true;
  const bool is_higher = m_rate && (!rate || *rate > *m_rate);
  if (is_higher && sent < m_read_at) return false;
  return Set(rate, request_id, now);
}

bool ServerRateTracker::OnReport(double rate, std::string_view request_id,
                                 TimePoint now) {
  m_has_known_limit = true;
  if (m_was_answered || rate == m_rate) return false;
  return Set(rate, request_id, now);
}

bool ServerRateTracker::Set(std::optional<double> rate,
                            std::string_view request_id, TimePoint now) {
  const bool has_changed = rate != m_rate;
  m_rate = rate;
  m_has_known_limit = m_has_known_limit || rate;
  m_request_id = rate ? request_id : "";
  m_read_at = now;
  return has_changed;
}

}  // namespace vanillatiller
