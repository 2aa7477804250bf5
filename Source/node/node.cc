#include "node/node.h"

#include <signal.h>
#include <unistd.h>

#include <chrono>
#include <thread>
#include <utility>

#include "node/fleet_config_validator.h"
#include "node/log.h"
#include "node/note_codec.h"

namespace vanillatiller {
namespace {

constexpr std::chrono::milliseconds kAdmissionTickInterval{10};
constexpr std::chrono::milliseconds kThresholdTickInterval{1000};
constexpr std::chrono::milliseconds kDrainPollInterval{20};
constexpr std::chrono::seconds kServerShutdownTimeout{2};

// Uses microseconds since the epoch, so that a restarted process gets a larger
// incarnation.
Incarnation NewIncarnation() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::unique_ptr<MetricsRegistry> MakeMetrics() {
  Findings findings;
  return MetricsRegistryBuilder().Build(&findings);
}

// Sends SIGTERM to this process; the main thread waits for it and then drains
// the node.
void RequestStop(const std::string& reason) {
  Log(LogLevel::kInfo, "stop-requested", {{"reason", reason}});
  kill(getpid(), SIGTERM);
}

}  // namespace

Node::Node(NodeSettings settings)
    : m_settings(std::move(settings)),
      m_incarnation(NewIncarnation()),
      m_metrics(MakeMetrics()),
      m_channels(MakeChannelCredentials(m_settings.certificates)),
      m_router({m_settings, m_view, m_ids, m_channels, *m_metrics}),
      m_callee({m_settings, m_view, m_ids, m_active_calls, m_incarnation,
                *m_metrics}),
      m_caller({m_settings, m_view, m_ids, m_channels, m_router, m_callee,
                *m_metrics}),
      m_entry({m_settings, m_view, m_ids, m_active_calls, m_caller, *m_metrics,
               m_incarnation}),
      m_control({m_settings, m_view, m_incarnation,
                 MakeChannelCredentials(m_settings.certificates),
                 std::make_shared<NoteCodec>(),
                 std::make_shared<FleetConfigValidator>()}),
      m_report({m_settings, m_view, m_callee, m_entry, m_control, *m_metrics,
                m_incarnation}),
      m_held_bodies(m_settings.max_held_body_bytes),
      m_peer_service(m_settings, m_callee, m_entry, m_control),
      m_operator_service({m_report, RequestStop}),
      m_public_front(m_settings.public_listener, m_settings, &m_held_bodies),
      m_local_front(m_settings.local_listener, m_settings, &m_held_bodies),
      m_admin_front(m_settings.admin_listener, m_settings, &m_held_bodies),
      m_admission_ticker(kAdmissionTickInterval,
                         [this](TimePoint now) { TickAdmission(now); }),
      m_threshold_ticker(kThresholdTickInterval, [this](TimePoint now) {
        m_entry.OnTick(now);
        m_callee.ExpireThresholds(now);
      }) {
  m_public_front.ServeCalls(m_entry, /*is_local=*/false);
  m_local_front.ServeCalls(m_entry, /*is_local=*/true);
  m_admin_front.ServeText("/status", "application/json",
                          [this] { return *m_report.Render("summary"); });
  m_admin_front.ServeText("/metrics", "text/plain; version=0.0.4", [this] {
    return m_report.RenderMetrics() + RenderHeldBodies();
  });
}

std::string Node::RenderHeldBodies() const {
  const uint64_t refused_connections = m_public_front.refused_connections() +
                                       m_local_front.refused_connections() +
                                       m_admin_front.refused_connections();
  const auto metric = [](const char* name, const char* type, uint64_t value) {
    const std::string full = std::string("vanillatiller_") + name;
    return "# TYPE " + full + " " + type + "\n" + full + " " +
           std::to_string(value) + "\n";
  };
  return metric("held_body_bytes", "gauge", m_held_bodies.used()) +
         metric("bodies_refused_total", "counter", m_held_bodies.refusals()) +
         metric("connections_refused_total", "counter", refused_connections);
}

Node::~Node() {
  m_control.Stop();
  if (m_server) m_server->Shutdown();
}

bool Node::Start(Reason* reason) {
  grpc::ServerBuilder builder;
  int port = 0;
  builder.AddListeningPort(m_settings.peer_listener.ToString(),
                           MakeServerCredentials(m_settings.certificates),
                           &port);
  builder.RegisterService(&m_peer_service);
  builder.RegisterService(&m_operator_service);
  m_server = builder.BuildAndStart();
  if (!m_server || port == 0) {
    *reason = {
        RefusalCode::kBadRequest,
        "peer listener: cannot bind " + m_settings.peer_listener.ToString()};
    return false;
  }
  const std::initializer_list<std::pair<HttpListener*, const ListenAddress*>>
      fronts = {{&m_local_front, &m_settings.local_listener},
                {&m_admin_front, &m_settings.admin_listener},
                {&m_public_front, &m_settings.public_listener}};
  for (const auto& [front, address] : fronts) {
    if (front->Start()) continue;
    *reason = {RefusalCode::kBadRequest,
               "listener: cannot bind " + address->ToString()};
    return false;
  }
  if (!m_control.Start(reason)) return false;
  m_admission_ticker.Start();
  m_threshold_ticker.Start();
  m_router.Start();
  Log(LogLevel::kInfo, "started",
      {{"service", m_settings.service},
       {"incarnation", std::to_string(m_incarnation)},
       {"public", m_settings.public_listener.ToString()}});
  return true;
}

void Node::Drain() {
  Log(LogLevel::kInfo, "draining");
  m_entry.StartDrain();
  m_callee.StartDrain();
  m_control.AnnounceLeaving();
  WaitUntilIdle();
  m_public_front.Stop();
  m_local_front.Stop();
  m_admin_front.Stop();
  m_control.Stop();
  m_router.Stop();
  m_server->Shutdown(std::chrono::system_clock::now() + kServerShutdownTimeout);
  Log(LogLevel::kInfo, "stopped");
}

void Node::TickAdmission(TimePoint now) {
  m_callee.SetBackendLeaving(m_control.IsLeaving());
  m_callee.OnTick(now);
}

void Node::WaitUntilIdle() {
  while (m_entry.in_flight() != 0 ||
         !m_callee.WaitUntilIdle(kDrainPollInterval)) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
}

}  // namespace vanillatiller
