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

// The VM list of the platform and the size of the response body.
struct VmListAnswer {
  MemberList members;
  size_t bytes = 0;
};

// State that a backend server reports about itself.
struct BackendHealth {
  bool healthy = false;
  bool leaving = false;
};

// HTTP client for the configuration service and the VM list of the platform,
// and for the health check of the local backend server. Calls block. Not
// thread-safe, except that Cancel may be called from another thread.
class PlatformClient {
 public:
  explicit PlatformClient(const ListenAddress& address);
  ~PlatformClient();

  // Long-polls up to `wait` for a version above `after_version`.
  ServiceAnswer WatchConfig(uint64_t after_version, Duration wait);

  // Returns nullopt if the platform does not answer with a valid list.
  std::optional<VmListAnswer> ReadVmList();

  // Sends GET /health. A backend server is unhealthy if it does not answer,
  // answers with a status other than 200, or sets "healthy": false in a JSON
  // answer. It is leaving if it sets "leaving": true.
  BackendHealth ReadHealth();

  // Aborts the request in progress.
  void Cancel();

 private:
  const std::unique_ptr<httplib::Client> m_client;
};

// Parses the VM list of the platform (JSON). Skips entries with a missing or
// invalid field. Returns nullopt if the text is not a JSON array.
std::optional<MemberList> ParseVmList(std::string_view text);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_PLATFORM_CLIENT_H_
