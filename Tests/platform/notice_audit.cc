#include "notice_audit.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

#include "absl/strings/str_format.h"

namespace vanillatiller {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The users' rules on limits and on leaving servers.
constexpr Duration kWindow = seconds(4);
constexpr Duration kStableTime = seconds(4);
constexpr Duration kToldBefore = milliseconds(500);
constexpr double kAllowedFactor = 1.5;
constexpr double kAllowedRequests = 5;
constexpr Duration kDrainBound = milliseconds(2500);

std::optional<double> RateOf(const std::string& value) {
  if (value.empty()) return std::nullopt;
  const double rate = std::strtod(value.c_str(), nullptr);
  return std::isfinite(rate) && rate >= 0 ? std::optional(rate) : std::nullopt;
}

}  // namespace

void NoticeAudit::SetLimit(size_t server, const std::string& value,
                           TimePoint now) {
  Server& state = m_servers[server];
  state.limit = value;
  state.rate = RateOf(value);
  state.limit_since = now;
  state.told_limit.clear();
}

void NoticeAudit::SetLeaving(size_t server, bool is_leaving) {
  m_servers[server].is_leaving = is_leaving;
  m_servers[server].told_leaving.clear();
}

void NoticeAudit::AddFields(size_t server, HttpHeaders* headers) const {
  const Server& state = m_servers[server];
  if (!state.limit.empty()) headers->Add("Server-Limit", state.limit);
  if (state.is_leaving) headers->Add("Server-Leaving", "1");
}

void NoticeAudit::OnPassedOn(size_t server, size_t origin,
                             const HttpHeaders& headers, TimePoint now) {
  Server& state = m_servers[server];
  const auto limit = headers.Find("Server-Limit");
  if (limit && *limit == state.limit) state.told_limit.emplace(origin, now);
  if (state.is_leaving && headers.Find("Server-Leaving")) {
    state.told_leaving.emplace(origin, now);
  }
}

std::optional<std::string> NoticeAudit::OnArrival(size_t server, size_t origin,
                                                  TimePoint sent,
                                                  TimePoint now) {
  Server& state = m_servers[server];
  const auto leaving = state.told_leaving.find(origin);
  if (leaving != state.told_leaving.end()) {
    ++m_judged;
    if (sent - leaving->second > kDrainBound) {
      return absl::StrFormat(
          "DRAIN server %d got a request sent %.1f s after node %d had passed "
          "on that it leaves",
          static_cast<int>(server),
          std::chrono::duration<double>(sent - leaving->second).count(),
          static_cast<int>(origin));
    }
  }
  const auto told = state.told_limit.find(origin);
  state.arrivals.push_back({now, told != state.told_limit.end() &&
                                     now - told->second >= kToldBefore});
  while (now - state.arrivals.front().at >= kWindow) state.arrivals.pop_front();
  if (!state.rate || now - state.limit_since < kStableTime) return std::nullopt;
  ++m_judged;
  const auto counted =
      std::count_if(state.arrivals.begin(), state.arrivals.end(),
                    [](const Arrival& arrival) { return arrival.is_counted; });
  const double allowed = kAllowedFactor * 4 * *state.rate + kAllowedRequests;
  if (static_cast<double>(counted) <= allowed) return std::nullopt;
  // Each excess is reported once.
  state.arrivals.clear();
  return absl::StrFormat(
      "LIMIT server %d with a limit of %s a second got %d requests in 4 s",
      static_cast<int>(server), state.limit, static_cast<int>(counted));
}

void NoticeAudit::Excuse(size_t origin) {
  for (Server& server : m_servers) {
    server.told_limit.erase(origin);
    server.told_leaving.erase(origin);
  }
}

void NoticeAudit::ForgetArrivals() {
  for (Server& server : m_servers) server.arrivals.clear();
}

}  // namespace vanillatiller
