#ifndef VANILLATILLER_TESTS_PLATFORM_CONFIG_HISTORY_H_
#define VANILLATILLER_TESTS_PLATFORM_CONFIG_HISTORY_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/base.h"

namespace vanillatiller {

// The versions of a configuration and when they were acknowledged. Tells which
// handling of a request each version allows that may be in force.
class ConfigHistory {
 public:
  struct Version {
    int number = 0;
    // Service of each route, by path prefix.
    std::map<std::string, std::string> services;
    size_t max_body_bytes = 0;
  };

  // Time in which a version must be in force.
  static constexpr Duration kBound = std::chrono::milliseconds(2500);

  void Add(Version version, TimePoint acknowledged);
  const Version& newest() const { return m_entries.back().version; }

  // Services that may run a request on the route which was sent at `sent` and
  // has run at `until`; "" if it may be answered with 404.
  std::set<std::string> AllowedServices(const std::string& prefix,
                                        TimePoint sent, TimePoint until) const;
  // Whether a body of this size may be refused as too large.
  bool MayRefuseBody(size_t size, TimePoint sent, TimePoint until) const;

 private:
  struct Entry {
    Version version;
    TimePoint acknowledged;
  };

  // Versions that may be in force for such a request.
  std::vector<const Version*> Possible(TimePoint sent, TimePoint until) const;

  std::vector<Entry> m_entries;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_TESTS_PLATFORM_CONFIG_HISTORY_H_
