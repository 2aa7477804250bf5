#ifndef VANILLATILLER_TESTS_RANDOM_CONFIG_H_
#define VANILLATILLER_TESTS_RANDOM_CONFIG_H_

#include <rapidcheck.h>

#include <string>

#include "fleetconfig/fleetconfig.h"

namespace vanillatiller {

// Returns a random valid configuration. Names come from small pools, so that
// two configurations share some items and differ in others. The idempotent flag
// of a method is the same in all configurations, because a note must not change
// the flag of a method in use.
inline FleetConfig RandomConfig(uint64_t version) {
  const auto number = [](int low, int high) {
    return *rc::gen::inRange(low, high);
  };
  FleetConfig config;
  config.version = version;
  config.chain.extra_attempts = number(0, 4);
  config.chain.max_depth = 64;
  config.ranks.push_back({"first", 0, true});
  for (int i = 1; i < 4; ++i) {
    if (number(0, 2) == 0) continue;
    config.ranks.push_back({"rank-" + std::to_string(number(0, 2) * 10 + i),
                            static_cast<uint32_t>(i), number(0, 2) == 0});
  }
  for (int i = 0; i < 4; ++i) {
    const std::string suffix = std::to_string(i);
    if (number(0, 2) == 0) {
      config.tenants.push_back(
          {"tenant" + suffix, static_cast<uint32_t>(number(1, 4))});
    }
    if (number(0, 3) == 0) continue;
    config.regions.push_back({"region" + suffix});
    config.failure_domains.push_back(
        {"domain" + std::to_string(number(0, 100)) + suffix,
         config.regions[number(0, config.regions.size())].name});
    if (config.regions.size() > 1) {
      config.links.push_back({config.regions.back().name,
                              config.regions.front().name,
                              static_cast<uint64_t>(number(1, 1000))});
    }
  }
  for (int i = 0; i < 5; ++i) {
    if (number(0, 4) == 0) continue;
    ServiceConfig& service = config.services.emplace_back();
    service.name = "service" + std::to_string(i);
    service.slots = number(1, 4);
    for (int j = 0; j < 4; ++j) {
      if (number(0, 3) == 0) continue;
      MethodConfig method{"m" + std::to_string(j)};
      method.rank = config.ranks[number(0, config.ranks.size())].name;
      method.idempotent = j % 2 == 0;
      method.timeout = std::chrono::milliseconds(number(1, 5));
      for (size_t k = 0; k + 1 < config.services.size(); ++k) {
        for (const MethodConfig& callee : config.services[k].methods) {
          if (number(0, 4) != 0 || (method.idempotent && !callee.idempotent)) {
            continue;
          }
          method.calls.push_back(config.services[k].name + "." + callee.name);
        }
      }
      service.methods.push_back(std::move(method));
    }
  }
  return config;
}

// Returns the same configuration with its items in reverse order.
inline FleetConfig Reversed(FleetConfig config) {
  const auto reverse = [](auto& items) {
    std::reverse(items.begin(), items.end());
  };
  reverse(config.ranks);
  reverse(config.tenants);
  reverse(config.regions);
  reverse(config.failure_domains);
  reverse(config.links);
  reverse(config.services);
  for (ServiceConfig& service : config.services) {
    reverse(service.methods);
    for (MethodConfig& method : service.methods) reverse(method.calls);
  }
  return config;
}

// Returns a valid configuration whose canonical form has nearly `bytes` bytes:
// services with 200 methods each, in call chains of four.
inline FleetConfig LargeConfig(size_t bytes) {
  constexpr size_t kBytesPerMethod = 120;
  constexpr size_t kMethodsPerService = 200;
  FleetConfig config;
  config.version = 1;
  config.ranks = {{"urgent", 0, true}, {"batch", 1, false}};
  const size_t services = bytes / kBytesPerMethod / kMethodsPerService;
  for (size_t i = 0; i < services; ++i) {
    ServiceConfig& service = config.services.emplace_back();
    service.name = "service-" + std::to_string(i);
    for (size_t j = 0; j < kMethodsPerService; ++j) {
      MethodConfig method{"operation-" + std::to_string(j), "urgent", true};
      if (i % 4 != 0) {
        method.calls = {"service-" + std::to_string(i - 1) + "." + method.name};
      }
      service.methods.push_back(std::move(method));
    }
  }
  Canonicalize(&config);
  return config;
}

}  // namespace vanillatiller

#endif  // VANILLATILLER_TESTS_RANDOM_CONFIG_H_
