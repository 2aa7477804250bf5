#ifndef VANILLATILLER_SOURCE_NODE_PLATFORM_CLIENT_H_
#define VANILLATILLER_SOURCE_NODE_PLATFORM_CLIENT_H_

#include <condition_variable>
#include <mutex>
#include <thread>

#include "node/fleet_view.h"
#include "node/settings.h"

namespace vanillatiller {

// Polls the platform's configuration service and VM list and publishes what
// they say.
class PlatformClient {
 public:
  PlatformClient(const NodeSettings& settings, FleetView& view);
  ~PlatformClient();

  void Start();
  void Stop();

 private:
  void Run();
  void PollConfig();
  void PollMembers();

  const NodeSettings& m_settings;
  FleetView& m_view;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_stopping = false;
  std::thread m_thread;
};

// Parses the platform's VM list (JSON). Entries that lack a field are left
// out; nullopt if the text is not a JSON array.
std::optional<MemberList> ParseVmList(std::string_view text);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_PLATFORM_CLIENT_H_
