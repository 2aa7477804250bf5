#ifndef VANILLATILLER_TESTS_PLATFORM_NOTICE_AUDIT_H_
#define VANILLATILLER_TESTS_PLATFORM_NOTICE_AUDIT_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "eventio/eventio.h"

namespace vanillatiller {

// What the backend servers of a soak say of themselves, and whether the nodes
// keep to it. Nodes and servers are numbered alike.
class NoticeAudit {
 public:
  explicit NoticeAudit(size_t servers) : m_servers(servers) {}

  // The value that the server names as its limit from now on; empty for none.
  void SetLimit(size_t server, const std::string& value, TimePoint now);
  // The server says that it is leaving, or is another run that does not.
  void SetLeaving(size_t server, bool is_leaving);
  bool IsLeaving(size_t server) const { return m_servers[server].is_leaving; }
  bool HasLimit(size_t server) const {
    return !m_servers[server].limit.empty();
  }
  // Adds what the server says to an answer of it.
  void AddFields(size_t server, HttpHeaders* headers) const;

  // A caller of node `origin` got an answer of the server with these fields.
  void OnPassedOn(size_t server, size_t origin, const HttpHeaders& headers,
                  TimePoint now);
  // A request that a caller of `origin` sent at `sent` has reached the server.
  // Returns what rule that breaks.
  std::optional<std::string> OnArrival(size_t server, size_t origin,
                                       TimePoint sent, TimePoint now);
  // The node restarted, was frozen or cut off.
  void Excuse(size_t origin);
  // Times were not measured for a moment.
  void ForgetArrivals();

  // Arrivals that were judged by a limit or by a mark.
  size_t judged() const { return m_judged; }

 private:
  struct Arrival {
    TimePoint at;
    bool is_counted = false;
  };
  struct Server {
    std::string limit;
    // Unset if the value is not a limit.
    std::optional<double> rate;
    TimePoint limit_since;
    bool is_leaving = false;
    // When each node first passed on the limit or the mark that holds now.
    std::map<size_t, TimePoint> told_limit;
    std::map<size_t, TimePoint> told_leaving;
    std::deque<Arrival> arrivals;
  };

  std::vector<Server> m_servers;
  size_t m_judged = 0;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_TESTS_PLATFORM_NOTICE_AUDIT_H_
