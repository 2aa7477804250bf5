#include "vtstub/backend_stub.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

namespace vanillatiller {
namespace {

constexpr int kOk = 200;
constexpr int kBadGateway = 502;

// Keeps connections to the node open for the threads that serve calls.
httplib::Client& NodeClient(const std::string& ip, int port) {
  thread_local std::unique_ptr<httplib::Client> client;
  if (!client) {
    client = std::make_unique<httplib::Client>(ip, port);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_read_timeout(std::chrono::seconds(60));
  }
  return *client;
}

}  // namespace

BackendStub::BackendStub(Options options)
    : m_options(std::move(options)),
      m_service_time_us(
          std::chrono::microseconds(m_options.service_time).count()) {}

void BackendStub::Install(httplib::Server& server) {
  server.Post(R"(/control/service_time_ms/(\d+))",
              [this](const httplib::Request& request, httplib::Response&) {
                m_service_time_us = std::stoll(request.matches[1]) * 1000;
              });
  server.Get("/control/executions",
             [this](const httplib::Request&, httplib::Response& response) {
               response.set_content(RenderExecutions(), "application/json");
             });
  server.Get("/health",
             [](const httplib::Request&, httplib::Response& response) {
               response.set_content("{\"healthy\":true}", "application/json");
             });
  server.Post(R"(/([^/]+)/([^/]+))", [this](const httplib::Request& request,
                                            httplib::Response& response) {
    HandleCall(request, response);
  });
}

void BackendStub::HandleCall(const httplib::Request& request,
                             httplib::Response& response) {
  const std::string service = request.matches[1];
  const std::string method = request.matches[2];
  const std::string request_id = request.get_header_value("X-Vt-Request");
  Record(request_id, method);
  std::this_thread::sleep_for(std::chrono::microseconds(m_service_time_us));

  nlohmann::json body = {{"server", m_options.name},
                         {"service", service},
                         {"method", method},
                         {"request", request_id},
                         {"calls", nlohmann::json::array()}};
  response.status = kOk;
  const auto calls = m_options.calls.find(method);
  if (calls != m_options.calls.end()) {
    for (const std::string& call : calls->second) {
      std::string path = "/" + call;
      path.replace(path.find('.'), 1, "/");
      const auto result =
          NodeClient(m_options.node_ip, m_options.node_port)
              .Post(path,
                    {{"X-Vt-Call", request.get_header_value("X-Vt-Call")}},
                    request.body, "application/json");
      const bool is_ok = result && result->status == kOk;
      if (!is_ok) response.status = kBadGateway;
      body["calls"].push_back(
          is_ok ? nlohmann::json::parse(result->body, nullptr, false)
                : nlohmann::json("failed"));
      if (!is_ok) break;
    }
  }
  response.set_content(body.dump(), "application/json");
}

void BackendStub::Record(const std::string& request_id,
                         const std::string& method) {
  const std::lock_guard lock(m_mutex);
  ++m_executions[request_id + " " + method];
}

std::string BackendStub::RenderExecutions() {
  const std::lock_guard lock(m_mutex);
  return nlohmann::json(m_executions).dump();
}

}  // namespace vanillatiller
