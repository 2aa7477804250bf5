#ifndef VANILLATILLER_SOURCE_NODE_STATUS_REPORT_H_
#define VANILLATILLER_SOURCE_NODE_STATUS_REPORT_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/base.h"
#include "metrics/metrics.h"
#include "node/callee.h"
#include "node/control_plane.h"
#include "node/fleet_view.h"
#include "node/request_pipeline.h"
#include "node/settings.h"

namespace vanillatiller {

// The configuration that a node has in force.
struct ConfigStatus {
  // 0 if none is.
  uint64_t version = 0;
  Sha256Digest digest{};
  // Null if none is in force.
  std::shared_ptr<const ConfigValue> value;
  bool confirmed = false;
  // Not empty if an equal version with another digest was seen.
  std::string conflict;
};

// What a node tells its operators. Safe to use from several threads.
class StatusReport {
 public:
  struct Parts {
    const NodeSettings& settings;
    const FleetView& view;
    const Callee& callee;
    const RequestPipeline& entry;
    const ControlPlane& control;
    MetricsRegistry& metrics;
    Incarnation incarnation;
  };

  explicit StatusReport(const Parts& parts);

  // JSON of "summary", "members", "histograms" or "edges"; nullopt for
  // another part. An empty part stands for "summary".
  std::optional<std::string> Render(std::string_view part);

  // Prometheus text.
  std::string RenderMetrics();

  ConfigStatus config_status() const;

  // Calls of peers and requests of callers that are not answered yet.
  uint32_t in_flight() const;

 private:
  std::string RenderSummary();
  std::string RenderMembers() const;
  // Brings what the registry does not learn from the request path up to date.
  void RefreshMetrics();

  const NodeSettings& m_settings;
  const FleetView& m_view;
  const Callee& m_callee;
  const RequestPipeline& m_entry;
  const ControlPlane& m_control;
  MetricsRegistry& m_metrics;
  const Incarnation m_incarnation;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_STATUS_REPORT_H_
