#include "vtstub/backend_server.h"

#include <nlohmann/json.hpp>
#include <thread>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "httplib.h"
#include "vtstub/peer_socket.h"

namespace vanillatiller {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPollInterval{10};
constexpr milliseconds kDefaultTimeout{60'000};
constexpr int kStatusNotStarted = 503;
constexpr int kStatusCancelled = 499;
constexpr int kStatusExpired = 504;
constexpr int kStatusDownstreamFailed = 502;

double NumberParameter(const httplib::Request& request, const char* name,
                       double fallback) {
  double value = 0;
  return absl::SimpleAtod(request.get_param_value(name), &value) ? value
                                                                 : fallback;
}

Duration DurationParameter(const httplib::Request& request, const char* name) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(
          NumberParameter(request, name, 0)));
}

void RejectUnstartedCall(const char* reason, httplib::Response* response) {
  response->status = kStatusNotStarted;
  response->set_header("X-Vt-Shed", "1");
  response->set_content(nlohmann::json({{"error", reason}}).dump(),
                        "application/json");
}

void SetJson(const nlohmann::json& value, httplib::Response* response) {
  response->set_content(value.dump(), "application/json");
}

}  // namespace

// State of a call that is queued or executing.
struct BackendServer::Call {
  std::string service;
  std::string method;
  std::string token;
  std::string request_id;
  std::string raw_body;
  // `raw_body` parsed as a JSON object; null if it is not an object that has an
  // "id" member.
  nlohmann::json json_body;
  std::string path;
  TimePoint deadline;
  PeerSocket socket;
  double work_ms = 0;
  nlohmann::json downstream = nlohmann::json::array();

  bool IsExpired() const { return BootClock::now() >= deadline; }
  std::string id() const {
    return json_body.is_object() ? json_body.value("id", request_id)
                                 : request_id;
  }
};

BackendServer::BackendServer(BackendOptions options)
    : m_options(std::move(options)),
      m_slots(m_options.slots == 0 ? UINT32_MAX : m_options.slots),
      m_service_time(m_options.service_time_distribution,
                     m_options.service_time, m_options.seed) {}

BackendServer::~BackendServer() = default;

void BackendServer::RegisterHandlers(httplib::Server* server) {
  server->Get("/health", [this](const auto&, httplib::Response& response) {
    HandleHealth(&response);
  });
  server->Get("/load", [this](const auto&, httplib::Response& response) {
    HandleLoad(&response);
  });
  server->Get("/executions", [this](const auto&, httplib::Response& response) {
    response.set_content(m_execution_log.ToText(), "text/plain");
  });
  server->Get("/control/executions", [this](const auto&,
                                            httplib::Response& response) {
    response.set_content(m_execution_log.ToCountsJson(), "application/json");
  });
  server->Get("/stats", [this](const auto&, httplib::Response& response) {
    SetJson({{"in_use", m_slots.in_use()},
             {"waiting", m_slots.waiting()},
             {"executions", m_execution_log.size()},
             {"shed", m_shed.load()},
             {"cancelled", m_cancelled.load()},
             {"expired", m_expired.load()}},
            &response);
  });
  RegisterControlHandlers(server);
  server->Post("/([^/]+)/([^/]+)", [this](const httplib::Request& request,
                                          httplib::Response& response) {
    HandleCall(request, &response);
  });
}

void BackendServer::RegisterControlHandlers(httplib::Server* server) {
  using Request = httplib::Request;
  using ControlHandler = std::function<void(const Request&)>;
  const auto add_control = [server](const char* name,
                                    const ControlHandler& handler) {
    server->Post(
        absl::StrCat("/control/", name),
        [handler](const Request& request, httplib::Response& response) {
          handler(request);
          response.set_content("ok\n", "text/plain");
        });
  };
  // service_time_ms/N: sets the mean service time to N ms.
  add_control("service_time_ms/(\\d+)", [this](const Request& request) {
    const std::lock_guard lock(m_service_time_mutex);
    m_service_time.SetMean(milliseconds(std::stoll(request.matches[1])));
  });
  // slow?factor=F: multiplies service times by F.
  add_control("slow", [this](const Request& request) {
    const std::lock_guard lock(m_service_time_mutex);
    m_service_time.SetSlowFactor(NumberParameter(request, "factor", 1));
  });
  // cold?factor=F&ms=T: simulates a cold start: service times are multiplied by
  // a factor that falls linearly from F to 1 within T ms.
  add_control("cold", [this](const Request& request) {
    const std::lock_guard lock(m_service_time_mutex);
    m_service_time.BeginColdStart(NumberParameter(request, "factor", 1),
                                  DurationParameter(request, "ms"),
                                  BootClock::now());
  });
  // shed?queue=N: sheds calls while N calls are queued. Without the parameter,
  // the queue is unlimited.
  add_control("shed", [this](const Request& request) {
    const double limit = NumberParameter(request, "queue", UINT32_MAX);
    m_queue_limit = static_cast<uint32_t>(limit);
  });
  // drain?on=0|1: rejects new calls and completes the running ones.
  add_control("drain", [this](const Request& request) {
    m_draining = NumberParameter(request, "on", 1) != 0;
  });
  // hang?on=0|1: keeps connections open and sends no responses to calls.
  add_control("hang", [this](const Request& request) {
    m_hung = NumberParameter(request, "on", 1) != 0;
  });
  // health?value=0|1: overrides the state that /health reports. Without the
  // parameter, /health reports the actual state.
  add_control("health", [this](const Request& request) {
    m_health_override = NumberParameter(request, "value", 1) != 0;
    m_health_overridden = request.has_param("value");
  });
  // load?in_use=N: overrides the load that /load reports. Without the
  // parameter, /load reports the actual load. load?freeze=1: /load keeps
  // reporting the current load.
  add_control("load", [this](const Request& request) {
    const int64_t current_in_use = m_slots.in_use();
    m_load_override =
        request.has_param("freeze")
            ? current_in_use
            : static_cast<int64_t>(NumberParameter(request, "in_use", -1));
  });
  // reset: clears the execution log.
  add_control("reset", [this](const Request&) { m_execution_log.Reset(); });
}

void BackendServer::HandleHealth(httplib::Response* response) const {
  const bool healthy =
      m_health_overridden ? m_health_override.load() : !m_draining;
  response->status = healthy ? 200 : 503;
  SetJson({{"healthy", healthy}, {"draining", m_draining.load()}}, response);
}

void BackendServer::HandleLoad(httplib::Response* response) const {
  const int64_t override_value = m_load_override;
  const int64_t in_use =
      override_value >= 0 ? override_value : m_slots.in_use();
  SetJson({{"in_use", in_use},
           {"waiting", override_value >= 0 ? 0 : m_slots.waiting()},
           {"slots", m_slots.slots()}},
          response);
}

bool BackendServer::IsHung() const { return m_hung; }

void BackendServer::HandleCall(const httplib::Request& request,
                               httplib::Response* response) {
  Call call{.service = request.matches[1],
            .method = request.matches[2],
            .token = request.get_header_value("X-Vt-Call"),
            .request_id = request.get_header_value("X-Vt-Request"),
            .raw_body = request.body,
            .json_body = nlohmann::json::parse(request.body, nullptr, false),
            .socket = PeerSocket(request.remote_port)};
  if (!call.json_body.is_object() || !call.json_body.contains("id")) {
    call.json_body = nullptr;
  }
  int64_t timeout_ms = 0;
  if (!absl::SimpleAtoi(request.get_header_value("X-Vt-Timeout-Ms"),
                        &timeout_ms)) {
    timeout_ms = kDefaultTimeout.count();
  }
  call.deadline = BootClock::now() + milliseconds(timeout_ms);
  const std::string parent_path =
      call.json_body.is_object() ? call.json_body.value("path", "") : "";
  call.path = absl::StrCat(parent_path, parent_path.empty() ? "" : "/",
                           call.service, ".", call.method);
  if (m_draining) {
    ++m_shed;
    RejectUnstartedCall("draining", response);
    return;
  }
  const auto result = m_slots.Acquire(m_queue_limit, [&call] {
    return call.IsExpired() || call.socket.IsClosedByClient();
  });
  if (result != SlotPool::Result::kAcquired) {
    ++m_shed;
    RejectUnstartedCall(
        result == SlotPool::Result::kQueueFull ? "queue full" : "expired",
        response);
    return;
  }
  Execute(&call, response);
  m_slots.Release();
}

void BackendServer::Execute(Call* call, httplib::Response* response) {
  const size_t record_index = m_execution_log.Start(
      {.request_id = call->request_id,
       .id = call->id(),
       .use =
           call->json_body.is_object() ? call->json_body.value("use", 0U) : 0,
       .path = call->path,
       .method = call->method});
  Duration duration;
  {
    const std::lock_guard lock(m_service_time_mutex);
    duration = m_service_time.Sample(BootClock::now());
  }
  bool should_continue = SimulateWork(call, duration);
  if (!should_continue) {
    response->status = call->IsExpired() ? kStatusExpired : kStatusCancelled;
    ++(call->IsExpired() ? m_expired : m_cancelled);
  }
  const auto calls = m_options.calls.find(call->method);
  if (calls != m_options.calls.end()) {
    for (const std::string& target : calls->second) {
      should_continue =
          should_continue && CallDownstream(call, target, response);
    }
  }
  m_execution_log.Finish(record_index, call->id(), call->work_ms);
  while (IsHung()) std::this_thread::sleep_for(kPollInterval);
  if (!should_continue) return;
  SetJson({{"server", m_options.name},
           {"service", call->service},
           {"method", call->method},
           {"request", call->request_id},
           {"id", call->id()},
           {"calls", call->downstream}},
          response);
}

bool BackendServer::SimulateWork(Call* call, Duration duration) {
  const TimePoint start = BootClock::now();
  const TimePoint end = start + duration;
  bool should_continue = true;
  while (should_continue && BootClock::now() < end) {
    const Duration remaining = end - BootClock::now();
    std::this_thread::sleep_for(std::min<Duration>(remaining, kPollInterval));
    should_continue = !call->IsExpired() && !call->socket.IsClosedByClient();
  }
  call->work_ms += ToMilliseconds(BootClock::now() - start);
  return should_continue;
}

bool BackendServer::CallDownstream(Call* call, const std::string& target,
                                   httplib::Response* response) {
  const size_t dot = target.find('.');
  const std::string path =
      "/" + target.substr(0, dot) + "/" + target.substr(dot + 1);
  const Duration remaining = call->deadline - BootClock::now();
  if (remaining <= Duration::zero()) {
    ++m_expired;
    response->status = kStatusExpired;
    return false;
  }
  std::string body = call->raw_body;
  if (call->json_body.is_object()) {
    call->json_body["path"] = call->path;
    body = call->json_body.dump();
  }
  const httplib::Headers headers = {{"X-Vt-Call", call->token}};
  auto client = AcquireClient();
  client->set_read_timeout(
      std::chrono::duration_cast<std::chrono::microseconds>(remaining));
  const auto answer = client->Post(path, headers, body, "application/json");
  if (!answer) {
    response->status = kStatusDownstreamFailed;
    SetJson({{"error", httplib::to_string(answer.error())}}, response);
    return false;
  }
  ReleaseClient(std::move(client));
  if (answer->status == 200 &&
      answer->get_header_value("X-Vt-Outcome") == "complete") {
    call->downstream.push_back(
        nlohmann::json::parse(answer->body, nullptr, false));
    return true;
  }
  response->status = kStatusDownstreamFailed;
  SetJson({{"error", "downstream call failed"},
           {"call", target},
           {"outcome", answer->get_header_value("X-Vt-Outcome")},
           {"reason", answer->get_header_value("X-Vt-Reason")}},
          response);
  return false;
}

std::unique_ptr<httplib::Client> BackendServer::AcquireClient() {
  {
    const std::lock_guard lock(m_clients_mutex);
    if (!m_clients.empty()) {
      auto client = std::move(m_clients.back());
      m_clients.pop_back();
      return client;
    }
  }
  auto client =
      std::make_unique<httplib::Client>(m_options.node_ip, m_options.node_port);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  return client;
}

void BackendServer::ReleaseClient(std::unique_ptr<httplib::Client> client) {
  const std::lock_guard lock(m_clients_mutex);
  m_clients.push_back(std::move(client));
}

}  // namespace vanillatiller
