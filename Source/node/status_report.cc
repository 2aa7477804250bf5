#include "node/status_report.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace vanillatiller {
namespace {

constexpr int kIndent = 2;
// Ranks with an order from this value on have no name in the metrics.
constexpr size_t kMaxRankNames = 256;

std::string_view StateName(MemberState state) {
  switch (state) {
    case MemberState::kLive:
      return "live";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kFailed:
      return "failed";
  }
  return "unknown";
}

std::vector<std::string> RankNames(const FleetConfig& config) {
  std::vector<std::string> names;
  for (const RankConfig& rank : config.ranks) {
    if (rank.order >= kMaxRankNames) continue;
    names.resize(std::max<size_t>(names.size(), rank.order + 1));
    names[rank.order] = rank.name;
  }
  return names;
}

std::string Dump(const nlohmann::json& json) {
  return json.dump(kIndent, ' ', false,
                   nlohmann::json::error_handler_t::replace);
}

}  // namespace

StatusReport::StatusReport(const Parts& parts)
    : m_settings(parts.settings),
      m_view(parts.view),
      m_callee(parts.callee),
      m_entry(parts.entry),
      m_control(parts.control),
      m_metrics(parts.metrics),
      m_incarnation(parts.incarnation) {}

std::optional<std::string> StatusReport::Render(std::string_view part) {
  RefreshMetrics();
  if (part.empty() || part == "summary") return RenderSummary();
  if (part == "members") return RenderMembers();
  if (part == "histograms") return FormatHistogramsJson(m_metrics);
  if (part == "edges") return FormatEdgesJson(m_metrics, m_settings.service);
  return std::nullopt;
}

std::string StatusReport::RenderMetrics() {
  RefreshMetrics();
  return FormatPrometheus(m_metrics);
}

ConfigStatus StatusReport::config_status() const {
  const ControlStatus control = m_control.status();
  ConfigStatus result;
  result.value = m_control.config_value();
  if (result.value) {
    result.version = result.value->stamp.version;
    result.digest = result.value->stamp.digest;
  }
  result.confirmed = control.confirmed;
  if (control.conflict) {
    result.conflict = "version " +
                      std::to_string(control.conflict->other.version) +
                      " with digest " + ToHex(control.conflict->other.digest) +
                      " from " + control.conflict->source;
  }
  return result;
}

uint32_t StatusReport::in_flight() const {
  return m_callee.load().in_flight + m_entry.in_flight();
}

std::string StatusReport::RenderSummary() {
  const auto members = m_view.members();
  const LoadReport load = m_callee.load();
  const MetricsSnapshot metrics = m_metrics.Snapshot();
  const ConfigStatus config = config_status();
  const ControlStatus control = m_control.status();
  uint64_t complete = 0;
  uint64_t not_run = 0;
  uint64_t unknown = 0;
  for (const RequestSnapshot& request : metrics.requests) {
    complete += request.outcomes[static_cast<size_t>(Outcome::kComplete)];
    not_run += request.outcomes[static_cast<size_t>(Outcome::kNotRun)];
    unknown += request.outcomes[static_cast<size_t>(Outcome::kUnknown)];
  }
  return Dump({
      {"vm", m_settings.vm},
      {"service", m_settings.service},
      {"region", m_settings.region},
      {"failure_domain", m_settings.failure_domain},
      {"incarnation", m_incarnation},
      {"config_version", config.version},
      {"config_digest", config.version != 0 ? ToHex(config.digest) : ""},
      {"config_confirmed", config.confirmed},
      {"config_conflict", config.conflict},
      {"members", members ? members->size() : 0},
      {"in_flight", load.in_flight},
      {"queued", load.queued},
      {"concurrency_limit", metrics.load.concurrency_limit},
      {"slots", metrics.load.slots},
      {"offered", metrics.offered},
      {"limit_reached", metrics.limit_reached},
      {"entry_in_flight", m_entry.in_flight()},
      {"complete", complete},
      {"not_run", not_run},
      {"unknown", unknown},
      {"leaving", load.leaving},
      {"config_reader", control.is_config_reader},
      {"config_reads", control.spread.service_reads},
      {"membership_relay", control.is_membership_relay},
      {"membership_in_doubt", control.is_in_self_preservation},
      {"membership_superseded", control.is_superseded},
      {"suspicions", control.membership.suspicions},
      {"failures_declared", control.membership.failures_declared},
      {"refutations", control.membership.refutations},
      {"backend_healthy", control.backend_healthy},
  });
}

std::string StatusReport::RenderMembers() const {
  nlohmann::json list = nlohmann::json::array();
  const auto members = m_view.members();
  if (!members) return Dump(list);
  for (const Member& member : *members) {
    list.push_back({{"vm", member.vm},
                    {"service", member.service},
                    {"peer_address", member.peer_address},
                    {"failure_domain", member.failure_domain},
                    {"region", member.region},
                    {"incarnation", member.incarnation},
                    {"state", StateName(member.state)}});
  }
  return Dump(list);
}

void StatusReport::RefreshMetrics() {
  const LoadReport load = m_callee.load();
  LoadSample sample{load.in_flight, load.queued, load.concurrency_limit};
  if (const auto config = m_view.config()) {
    m_metrics.SetRankNames(RankNames(*config));
    const ServiceConfig* service = config->FindService(m_settings.service);
    if (service != nullptr) sample.slots = service->slots;
  }
  // Without an adaptive limit, the limit is the configured number of slots.
  if (sample.concurrency_limit == 0) sample.concurrency_limit = sample.slots;
  m_metrics.SetLoad(sample);
}

}  // namespace vanillatiller
