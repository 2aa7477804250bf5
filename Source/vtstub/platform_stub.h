#ifndef VANILLATILLER_SOURCE_VTSTUB_PLATFORM_STUB_H_
#define VANILLATILLER_SOURCE_VTSTUB_PLATFORM_STUB_H_

#include <httplib.h>

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>

namespace vanillatiller {

// Stands in for the platform: the read-and-watch configuration service and the
// list of VMs.
class PlatformStub {
 public:
  PlatformStub(std::string config, std::string vms);

  // Adds the stub's handlers to `server`.
  void Install(httplib::Server& server);

 private:
  void HandleConfig(const httplib::Request& request,
                    httplib::Response& response);
  void SetConfig(std::string text);

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::string m_config;
  uint64_t m_config_version = 0;
  std::string m_vms;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTSTUB_PLATFORM_STUB_H_
