#include "vtstub/platform_stub.h"

#include <chrono>
#include <cstdlib>
#include <utility>

namespace vanillatiller {
namespace {

constexpr int kNoContent = 204;
constexpr std::string_view kVersionField = "version = ";

// The value's version line; 0 if there is none.
uint64_t VersionOf(const std::string& text) {
  const size_t found = text.find(kVersionField);
  if (found == std::string::npos) return 0;
  return std::strtoull(text.c_str() + found + kVersionField.size(), nullptr,
                       10);
}

uint64_t NumberParameter(const httplib::Request& request, const char* name) {
  return std::strtoull(request.get_param_value(name).c_str(), nullptr, 10);
}

}  // namespace

PlatformStub::PlatformStub(std::string config, std::string vms)
    : m_vms(std::move(vms)) {
  SetConfig(std::move(config));
}

void PlatformStub::Install(httplib::Server& server) {
  server.Get("/v1/config", [this](const httplib::Request& request,
                                  httplib::Response& response) {
    HandleConfig(request, response);
  });
  server.Get("/v1/vms",
             [this](const httplib::Request&, httplib::Response& response) {
               const std::lock_guard lock(m_mutex);
               response.set_content(m_vms, "application/json");
             });
  server.Post("/control/config",
              [this](const httplib::Request& request, httplib::Response&) {
                SetConfig(request.body);
              });
  server.Post("/control/vms",
              [this](const httplib::Request& request, httplib::Response&) {
                const std::lock_guard lock(m_mutex);
                m_vms = request.body;
              });
}

void PlatformStub::HandleConfig(const httplib::Request& request,
                                httplib::Response& response) {
  const uint64_t after = NumberParameter(request, "after");
  const std::chrono::milliseconds wait(NumberParameter(request, "wait_ms"));
  std::unique_lock lock(m_mutex);
  const bool is_newer =
      m_changed.wait_for(lock, wait, [&] { return m_config_version > after; });
  if (!is_newer) {
    response.status = kNoContent;
    return;
  }
  response.set_header("X-Config-Version", std::to_string(m_config_version));
  response.set_content(m_config, "application/toml");
}

void PlatformStub::SetConfig(std::string text) {
  {
    const std::lock_guard lock(m_mutex);
    m_config_version = VersionOf(text);
    m_config = std::move(text);
  }
  m_changed.notify_all();
}

}  // namespace vanillatiller
