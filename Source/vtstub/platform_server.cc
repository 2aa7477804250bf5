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

constexpr uint64_t kMaxWaitMs = 60'000;
// A watch looks at the service's faults at least this often.
constexpr milliseconds kWatchInterval{100};

uint64_t CountParameter(const httplib::Request& request, const char* name,
                        uint64_t fallback) {
  uint64_t value = 0;
  return absl::SimpleAtoi(request.get_param_value(name), &value) ? value
                                                                 : fallback;
}

// The number of the value's version line; 0 if there is none.
uint64_t VersionOf(const std::string& text) {
  static constexpr std::string_view kField = "version = ";
  const size_t found = text.find(kField);
  if (found == std::string::npos) return 0;
  return std::strtoull(text.c_str() + found + kField.size(), nullptr, 10);
}

}  // namespace

PlatformServer::PlatformServer(json vms) {
  m_vm_lists.push_back({TimePoint(), std::move(vms)});
}

bool PlatformServer::SetConfig(std::string text) {
  if (text.size() > kMaxConfigBytes) return false;
  const uint64_t version = VersionOf(text);
  const std::lock_guard lock(m_mutex);
  m_versions[version] = std::move(text);
  m_changed.notify_all();
  return true;
}

void PlatformServer::Install(httplib::Server* server) {
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
  InstallControls(server);
}

void PlatformServer::InstallControls(httplib::Server* server) {
  using Request = httplib::Request;
  // Returns an error text, or an empty string.
  using Apply = std::function<std::string(const Request&)>;
  const auto add = [this, server](const char* name, const Apply& apply) {
    server->Post(
        absl::StrCat("/control/", name),
        [this, apply](const Request& request, httplib::Response& response) {
          const std::string error = apply(request);
          m_changed.notify_all();
          if (!error.empty()) response.status = 400;
          response.set_content(error.empty() ? "ok\n" : error, "text/plain");
        });
  };
  // config with the value as body: puts it in force.
  add("config", [this](const Request& request) -> std::string {
    return SetConfig(request.body) ? "" : "value above 1 MB\n";
  });
  // down?on=0|1: /v1/config answers 503, waiting watches too.
  add("down", [this](const Request& request) -> std::string {
    const std::lock_guard lock(m_mutex);
    m_down = CountParameter(request, "on", 1) != 0;
    return "";
  });
  // stale?on=0|1: readers keep seeing the present version.
  add("stale", [this](const Request& request) -> std::string {
    const std::lock_guard lock(m_mutex);
    const bool on = CountParameter(request, "on", 1) != 0;
    m_stale_version = on ? ServedVersion() : UINT64_MAX;
    return "";
  });
  // rate?limit=N: reads a second.
  add("rate", [this](const Request& request) -> std::string {
    const std::lock_guard lock(m_mutex);
    m_limiter.SetLimit(static_cast<uint32_t>(
        CountParameter(request, "limit", kConfigReadsPerSecond)));
    return "";
  });
  // vms_down?on=0|1: /v1/vms answers 503.
  add("vms_down", [this](const Request& request) -> std::string {
    const std::lock_guard lock(m_mutex);
    m_vms_down = CountParameter(request, "on", 1) != 0;
    return "";
  });
  // vm_lag?ms=T: changes of the VM list are seen T later.
  add("vm_lag", [this](const Request& request) -> std::string {
    const std::lock_guard lock(m_mutex);
    m_vm_lag = milliseconds(CountParameter(request, "ms", 0));
    return "";
  });
  // vm?name=VM&state=live|leaving|gone: changes the VM list.
  add("vm", [this](const Request& request) -> std::string {
    ChangeVm(request.get_param_value("name"), request.get_param_value("state"));
    return "";
  });
  // vms with a JSON array as body: replaces the VM list.
  add("vms", [this](const Request& request) -> std::string {
    json vms = json::parse(request.body, nullptr, false);
    if (!vms.is_array()) return "the body is not a JSON array\n";
    const std::lock_guard lock(m_mutex);
    m_vm_lists.push_back({BootClock::now(), std::move(vms)});
    return "";
  });
}

uint64_t PlatformServer::ServedVersion() const {
  const auto after = m_versions.upper_bound(m_stale_version);
  return after == m_versions.begin() ? 0 : std::prev(after)->first;
}

void PlatformServer::HandleConfig(const httplib::Request& request,
                                  httplib::Response* response) {
  const uint64_t after = CountParameter(request, "after", 0);
  const milliseconds wait(
      std::min(CountParameter(request, "wait_ms", 0), kMaxWaitMs));
  const TimePoint now = BootClock::now();
  const TimePoint until = now + wait;
  std::unique_lock lock(m_mutex);
  if (m_down) {
    response->status = 503;
    return;
  }
  if (!m_limiter.Admit(now)) {
    ++m_refused;
    response->status = 429;
    return;
  }
  ++m_reads;
  if (ServedVersion() <= after && wait > milliseconds(0)) {
    m_limiter.StartWatch();
    m_most_watches = std::max(m_most_watches, m_limiter.watches());
    while (!m_down && ServedVersion() <= after && BootClock::now() < until) {
      m_changed.wait_for(lock, kWatchInterval);
    }
    m_limiter.EndWatch();
  }
  const uint64_t version = ServedVersion();
  if (m_down || version <= after) {
    response->status = m_down ? 503 : 204;
    return;
  }
  const std::string& text = m_versions[version];
  m_bytes += text.size();
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
  const TimePoint visible = BootClock::now() - m_vm_lag;
  const auto newest = std::find_if(
      m_vm_lists.rbegin(), std::prev(m_vm_lists.rend()),
      [visible](const VmList& list) { return list.since <= visible; });
  response->set_content(newest->vms.dump(), "application/json");
}

void PlatformServer::HandleStats(httplib::Response* response) {
  const std::lock_guard lock(m_mutex);
  const json stats = {{"reads", m_reads},
                      {"refused", m_refused},
                      {"vm_reads", m_vm_reads},
                      {"value_bytes", m_bytes},
                      {"watches", m_limiter.watches()},
                      {"most_watches", m_most_watches},
                      {"version", ServedVersion()}};
  response->set_content(stats.dump(), "application/json");
}

void PlatformServer::ChangeVm(const std::string& vm, const std::string& state) {
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
