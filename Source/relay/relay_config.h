#ifndef VANILLATILLER_SOURCE_RELAY_RELAY_CONFIG_H_
#define VANILLATILLER_SOURCE_RELAY_RELAY_CONFIG_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"

namespace vanillatiller {

// A weighted share of the requests of a route.
struct ServiceShare {
  std::string service;
  uint32_t weight = 1;
};

// Handling of requests that match an authority and path prefix.
struct RelayRoute {
  std::string name;
  std::string authority;
  // Begins and ends with a slash.
  std::string prefix;
  // Requests may safely run more than once.
  bool idempotent = false;
  // 0 is the most important.
  uint32_t rank = 0;
  // Maximum time for which a caller waits.
  Duration timeout = std::chrono::seconds(30);
  // Latency objective of responses.
  Duration objective = std::chrono::seconds(1);
  // Maximum number of servers that may receive one request.
  uint32_t max_attempts = 1;
  std::vector<ServiceShare> shares;
};

// Limits on caller connections and messages.
struct CallerLimits {
  size_t max_header_bytes = size_t{16} << 10;
  size_t max_body_bytes = size_t{1} << 20;
  Duration header_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(60);
};

// One version of the relay configuration.
struct RelayConfig {
  uint64_t version = 0;
  std::vector<RelayRoute> routes;
  CallerLimits limits;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_RELAY_CONFIG_H_
