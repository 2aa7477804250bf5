#ifndef VANILLATILLER_SOURCE_VTSTUB_PLATFORM_SERVER_H_
#define VANILLATILLER_SOURCE_VTSTUB_PLATFORM_SERVER_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "vtstub/read_limiter.h"

namespace httplib {
class Server;
struct Request;
struct Response;
}  // namespace httplib

namespace vanillatiller {

inline constexpr uint32_t kConfigReadsPerSecond = 2000;
inline constexpr size_t kMaxConfigBytes = 1'000'000;

// Simulates the platform: the configuration service (GET /v1/config) and the
// VM list (GET /v1/vms). Also serves POST /control/FAULT (see
// RegisterControlHandlers) and GET /stats.
class PlatformServer {
 public:
  // `vms` is the JSON array that GET /v1/vms returns.
  explicit PlatformServer(nlohmann::json vms);

  // Publishes a configuration under the version in its "version = N" line.
  // Returns false if it is larger than 1 MB. The rest of the text is not
  // parsed, so that tests can serve invalid configurations.
  bool SetConfig(std::string text);

  // Registers the handlers with `server`, which must not outlive this object.
  void RegisterHandlers(httplib::Server* server);

 private:
  struct VmList {
    TimePoint changed_at;
    nlohmann::json vms;
  };

  void HandleConfig(const httplib::Request& request,
                    httplib::Response* response);
  void HandleVms(httplib::Response* response);
  void HandleStats(httplib::Response* response);
  void RegisterControlHandlers(httplib::Server* server);
  void SetVmState(const std::string& vm, const std::string& state);
  uint64_t VisibleVersion() const;

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<uint64_t, std::string> m_versions;
  // Newest version that is served; below the newest published version while the
  // service is stale.
  uint64_t m_max_visible_version = UINT64_MAX;
  bool m_down = false;
  bool m_vms_down = false;
  ReadLimiter m_limiter{kConfigReadsPerSecond};
  // Oldest first. Readers see the newest list that is at least m_vm_lag old.
  std::vector<VmList> m_vm_lists;
  Duration m_vm_lag{0};
  uint64_t m_config_reads = 0;
  uint64_t m_rejected_reads = 0;
  uint64_t m_vm_reads = 0;
  uint64_t m_config_bytes_sent = 0;
  uint32_t m_peak_watches = 0;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTSTUB_PLATFORM_SERVER_H_
