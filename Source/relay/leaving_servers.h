#ifndef VANILLATILLER_SOURCE_RELAY_LEAVING_SERVERS_H_
#define VANILLATILLER_SOURCE_RELAY_LEAVING_SERVERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "base/base.h"

namespace vanillatiller {

// One run of a backend server, from its start to its end.
struct ServerIncarnation {
  // May be used again by a later run.
  std::string id;
  // Start time by the server's clock, in milliseconds; 0 if unknown.
  uint64_t started_ms = 0;

  bool operator==(const ServerIncarnation&) const = default;
};

// Backend servers that have said themselves that they are leaving.
//
// This holds against any list, which may be older: a server does not stay once
// it has said so. It ends with the incarnation.
class LeavingServers {
 public:
  // Returns false if that was known.
  bool Add(const ServerIncarnation& server, TimePoint now);
  // Whether this incarnation, or a later one with the same ID, is leaving.
  bool Contains(std::string_view id, uint64_t started_ms) const;

 private:
  struct Mark {
    uint64_t started_ms = 0;
    TimePoint added;
  };

  // Longer than a server takes to leave and than any copy of a list is old.
  static constexpr Duration kLifetime = std::chrono::hours(1);

  std::map<std::string, Mark, std::less<>> m_marks;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_LEAVING_SERVERS_H_
