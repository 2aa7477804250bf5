#ifndef VANILLATILLER_SOURCE_NODE_PLATFORM_CLIENT_H_
#define VANILLATILLER_SOURCE_NODE_PLATFORM_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "base/base.h"
#include "membership/member.h"
#include "node/settings.h"
#include "spread/messages.h"

namespace httplib {
class Client;
}  // namespace httplib

namespace vanillatiller {

// The platform's VM list and its size on the wire.
struct VmListAnswer {
  MemberList members;
  size_t bytes = 0;
};

// What a backend server says of itself.
struct BackendHealth {
  bool healthy = false;
  bool leaving = false;
};

// Reads the platform's configuration service and VM list, and the health of
// the local backend server. Blocks; each thread needs its own, but Cancel may
// be called from another thread.
class PlatformClient {
 public:
  explicit PlatformClient(const ListenAddress& address);
  ~PlatformClient();

  // Waits up to `wait` for a version above `after_version`.
  ServiceAnswer WatchConfig(uint64_t after_version, Duration wait);

  // nullopt if the platform does not answer with a list.
  std::optional<VmListAnswer> ReadVmList();

  // GET /health. A backend server that does not answer, or not with 200, is
  // unhealthy; "leaving": true in a JSON answer means that it is leaving.
  BackendHealth ReadHealth();

  // Ends the request that is being waited for.
  void Cancel();

 private:
  const std::unique_ptr<httplib::Client> m_client;
};

// Parses the platform's VM list (JSON). Entries that lack a field are left
// out; nullopt if the text is not a JSON array.
std::optional<MemberList> ParseVmList(std::string_view text);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_PLATFORM_CLIENT_H_
