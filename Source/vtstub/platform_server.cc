#include "vtstub/platform_server.h"

#include <algorithm>
#include <cstdlib>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "httplib.h"

namespace vanillatiller {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr uint64_t kMaxWatchWaitMs = 60'000;
// Maximum interval at which a waiting watch checks for injected faults.
constexpr milliseconds kWatchPollInterval{100};

uint64_t UnsignedParameter(const httplib::Request& request, const char* name,
                           uint64_t fallback) {
  uint64_t value = 0;
  return absl::SimpleAtoi(request.get_param_value(name), &value) ? value
                                                                 : fallback;
}

// Returns the number in the "version = N" line, or 0 if there is none.
uint64_t ParseVersion(const std::string& text) {
  static constexpr std::string_view kVersionPrefix = "version = ";
  const size_t found = text.find(kVersionPrefix);
  if (found == std::string::npos) return 0;
  return std::strtoull(text.c_str() + found + kVersionPrefix.size(), nullptr,
                       10);
}

}  // namespace

PlatformServer::PlatformServer(json vms) {
  m_vm_lists.push_back({TimePoint(), std::move(vms)});
}

bool PlatformServer::SetConfig(std::string text) {
  if (text.size() > kMaxConfigBytes) return false;
  const uint64_t version = ParseVersion(text);
  const std::lock_guard lock(m_mutex);
  m_versions[version] = std::move(text);
  m_changed.notify_all();
  return true;
}

void PlatformServer::RegisterHandlers(httplib::Server* server) {
  server->Get("/v1/config", [this](const httplib::Request& request,
                                   httplib::Response& response) {
    HandleConfig(request, &response);
  });
  server->Get("/v1/vms", [this](const auto&, httplib::Response& response) {
    HandleVms(&response);
  });
  server->Get("/stats", [this](const auto&, httplib::Response& response) {
    HandleStats(&response);
  });
  RegisterControlHandlers(server);
}

void PlatformServer::RegisterControlHandlers(httplib::Server* server) {
  using Request = httplib::Request;
  // Returns an error message, or an empty string on success.
  using ControlHandler = std::function<std::string(const Request&)>;
  const auto add_control = [this, server](const char* name,
                                          const ControlHandler& handler) {
    server->Post(
        absl::StrCat("/control/", name),
        [this, handler](const Request& request, httplib::Response& response) {
          const std::string error = handler(request);
          m_changed.notify_all();
          if (!error.empty()) response.status = 400;
          response.set_content(error.empty() ? "ok\n" : error, "text/plain");
        });
  };
  // config: publishes the request body as the configuration.
  add_control("config", [this](const Request& request) -> std::string {
    return SetConfig(request.body) ? "" : "configuration is larger than 1 MB\n";
  });
  // down?on=0|1: /v1/config responds 503, also to waiting watches.
  add_control("down", [this](const Request& request) -> std::string {
    const std::lock_guard lock(m_mutex);
    m_down = UnsignedParameter(request, "on", 1) != 0;
    return "";
  });
  // stale?on=0|1: readers keep seeing the current version.
  add_control("stale", [this](const Request& request) -> std::string {
    const std::lock_guard lock(m_mutex);
    const bool on = UnsignedParameter(request, "on", 1) != 0;
    m_max_visible_version = on ? VisibleVersion() : UINT64_MAX;
    return "";
  });
  // rate?limit=N: limits reads of /v1/config to N per second.
  add_control("rate", [this](const Request& request) -> std::string {
    const std::lock_guard lock(m_mutex);
    m_limiter.SetLimit(static_cast<uint32_t>(
        UnsignedParameter(request, "limit", kConfigReadsPerSecond)));
    return "";
  });
  // vms_down?on=0|1: /v1/vms responds 503.
  add_control("vms_down", [this](const Request& request) -> std::string {
    const std::lock_guard lock(m_mutex);
    m_vms_down = UnsignedParameter(request, "on", 1) != 0;
    return "";
  });
  // vm_lag?ms=T: delays the visibility of VM list changes by T ms.
  add_control("vm_lag", [this](const Request& request) -> std::string {
    const std::lock_guard lock(m_mutex);
    m_vm_lag = milliseconds(UnsignedParameter(request, "ms", 0));
    return "";
  });
  // vm?name=VM&state=live|leaving|gone: sets the state of a VM; "gone" removes
  // it from the list.
  add_control("vm", [this](const Request& request) -> std::string {
    SetVmState(request.get_param_value("name"),
               request.get_param_value("state"));
    return "";
  });
  // vms: replaces the VM list with the JSON array in the request body.
  add_control("vms", [this](const Request& request) -> std::string {
    json vms = json::parse(request.body, nullptr, false);
    if (!vms.is_array()) return "request body is not a JSON array\n";
    const std::lock_guard lock(m_mutex);
    m_vm_lists.push_back({BootClock::now(), std::move(vms)});
    return "";
  });
}

uint64_t PlatformServer::VisibleVersion() const {
  const auto after = m_versions.upper_bound(m_max_visible_version);
  return after == m_versions.begin() ? 0 : std::prev(after)->first;
}

void PlatformServer::HandleConfig(const httplib::Request& request,
                                  httplib::Response* response) {
  const uint64_t after = UnsignedParameter(request, "after", 0);
  const milliseconds wait(
      std::min(UnsignedParameter(request, "wait_ms", 0), kMaxWatchWaitMs));
  const TimePoint now = BootClock::now();
  const TimePoint wait_deadline = now + wait;
  std::unique_lock lock(m_mutex);
  if (m_down) {
    response->status = 503;
    return;
  }
  if (!m_limiter.Admit(now)) {
    ++m_rejected_reads;
    response->status = 429;
    return;
  }
  ++m_config_reads;
  if (VisibleVersion() <= after && wait > milliseconds(0)) {
    m_limiter.StartWatch();
    m_peak_watches = std::max(m_peak_watches, m_limiter.watches());
    while (!m_down && VisibleVersion() <= after &&
           BootClock::now() < wait_deadline) {
      m_changed.wait_for(lock, kWatchPollInterval);
    }
    m_limiter.EndWatch();
  }
  const uint64_t version = VisibleVersion();
  if (m_down || version <= after) {
    response->status = m_down ? 503 : 204;
    return;
  }
  const std::string& text = m_versions[version];
  m_config_bytes_sent += text.size();
  response->set_header("X-Config-Version", std::to_string(version));
  response->set_content(text, "application/toml");
}

void PlatformServer::HandleVms(httplib::Response* response) {
  const std::lock_guard lock(m_mutex);
  ++m_vm_reads;
  if (m_vms_down) {
    response->status = 503;
    return;
  }
  const TimePoint visible_until = BootClock::now() - m_vm_lag;
  const auto newest =
      std::find_if(m_vm_lists.rbegin(), std::prev(m_vm_lists.rend()),
                   [visible_until](const VmList& list) {
                     return list.changed_at <= visible_until;
                   });
  response->set_content(newest->vms.dump(), "application/json");
}

void PlatformServer::HandleStats(httplib::Response* response) {
  const std::lock_guard lock(m_mutex);
  const json stats = {
      {"reads", m_config_reads},        {"refused", m_rejected_reads},
      {"vm_reads", m_vm_reads},         {"value_bytes", m_config_bytes_sent},
      {"watches", m_limiter.watches()}, {"most_watches", m_peak_watches},
      {"version", VisibleVersion()}};
  response->set_content(stats.dump(), "application/json");
}

void PlatformServer::SetVmState(const std::string& vm,
                                const std::string& state) {
  const std::lock_guard lock(m_mutex);
  json vms = json::array();
  for (json entry : m_vm_lists.back().vms) {
    if (entry.value("vm", "") == vm) {
      if (state == "gone") continue;
      entry["state"] = state;
    }
    vms.push_back(std::move(entry));
  }
  m_vm_lists.push_back({BootClock::now(), std::move(vms)});
}

}  // namespace vanillatiller
