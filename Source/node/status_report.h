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

// The configuration in force on a node.
struct ConfigStatus {
  // 0 if no configuration is in force.
  uint64_t version = 0;
  Sha256Digest digest{};
  // nullptr if no configuration is in force.
  std::shared_ptr<const ConfigValue> value;
  bool confirmed = false;
  // Describes a value with the same version but a different digest, if one was
  // received; empty otherwise.
  std::string conflict;
};

// Renders the status and the metrics of a node for operators. Thread-safe.
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

  // Renders "summary", "members", "histograms" or "edges" as JSON. An empty
  // part means "summary". Returns nullopt if the part is unknown.
  std::optional<std::string> Render(std::string_view part);

  // Renders the metrics in the Prometheus text format.
  std::string RenderMetrics();

  ConfigStatus config_status() const;

  // Number of calls from peers and requests from outside callers in progress.
  uint32_t in_flight() const;

 private:
  std::string RenderSummary();
  std::string RenderMembers() const;
  // Updates the metrics that the request path does not record.
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
