#ifndef VANILLATILLER_SOURCE_RELAY_RELAY_CONFIG_H_
#define VANILLATILLER_SOURCE_RELAY_RELAY_CONFIG_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"

namespace vanillatiller {

// A part of a route's requests.
struct ServiceShare {
  std::string service;
  uint32_t weight = 1;
};

// What happens to requests of one authority and path prefix.
struct RelayRoute {
  std::string name;
  std::string authority;
  // Begins and ends with a slash.
  std::string prefix;
  // Requests may run more than once.
  bool idempotent = false;
  // 0 is the most important.
  uint32_t rank = 0;
  // Longest time that a caller is kept waiting.
  Duration timeout = std::chrono::seconds(30);
  // Time within which an answer has its full value.
  Duration objective = std::chrono::seconds(1);
  // Servers that one request may be sent to.
  uint32_t max_attempts = 1;
  std::vector<ServiceShare> shares;
};

// Bounds on what callers send.
struct CallerLimits {
  size_t max_header_bytes = size_t{16} << 10;
  size_t max_body_bytes = size_t{1} << 20;
  Duration header_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(60);
};

// One version of the routes.
struct RelayConfig {
  uint64_t version = 0;
  std::vector<RelayRoute> routes;
  CallerLimits limits;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_RELAY_CONFIG_H_
