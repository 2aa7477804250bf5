#ifndef VANILLATILLER_SOURCE_RELAY_SERVER_DIRECTORY_H_
#define VANILLATILLER_SOURCE_RELAY_SERVER_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"
#include "eventio/tcp_connection.h"
#include "relay/leaving_servers.h"

namespace vanillatiller {

// A backend server as listed by the platform.
struct ServerRecord {
  std::string id;
  std::string service;
  SocketAddress address;
  std::string failure_domain;
  uint32_t slots = 1;
  // The server accepts no new work.
  bool draining = false;
  // Remaining warm-up time after a start, during which the server is slow.
  Duration warmup_left{};
  // Start time by the server's clock, in milliseconds; 0 if unknown.
  // Distinguishes restarts that keep the same ID.
  uint64_t started_ms = 0;
  // Revision of the platform's list that contains the record.
  uint64_t revision = 0;
};

// This node's view of the backend servers.
//
// The platform drops a record when its server stops renewing it, which also
// happens while the list is unavailable for writes. Servers renew their records
// soon after the list is available again, so a record that is missing right
// after an outage is kept for a grace period.
class ServerDirectory {
 public:
  // Applies one record; false if nothing changed.
  bool Apply(const ServerRecord& record, TimePoint now);
  // Applies the removal of a record at `revision`; false if nothing changed.
  bool Remove(std::string_view id, uint64_t revision, TimePoint now);
  // Applies the complete list at `revision`. Returns the number of changes.
  size_t ApplyList(const std::vector<ServerRecord>& list, uint64_t revision,
                   TimePoint now);
  // The server itself says that it is leaving. Returns whether a record that
  // may receive work is affected.
  bool MarkLeaving(const ServerIncarnation& server, TimePoint now);
  // The platform's list is readable again after an outage.
  void OnSourceRestored(TimePoint now);

  // Time in which servers renew expired records after an outage of the list:
  // two seconds according to the platform's documentation, plus the delay of
  // reading the list.
  static constexpr Duration kRenewalGrace = std::chrono::milliseconds(2300);
  // Rest of that time, for nodes that have not seen the outage themselves.
  Duration RenewalLeft(TimePoint now) const;
  void ExtendRenewal(Duration left, TimePoint now);

  // Records of all services that may receive work.
  std::vector<const ServerRecord*> Usable(TimePoint now) const;
  // The most recently started server at `address`, usable or draining.
  const ServerRecord* FindByAddress(const SocketAddress& address,
                                    TimePoint now) const;
  // Next time at which a record expires.
  std::optional<TimePoint> NextExpiry(TimePoint now) const;

  uint64_t revision() const { return m_revision; }
  size_t size() const { return m_entries.size(); }

 private:
  struct Entry {
    ServerRecord record;
    // Set if the list has no such record; the record remains present until this
    // time.
    std::optional<TimePoint> expires;
    uint64_t removed_revision = 0;
  };

  static bool IsPresent(const Entry& entry, TimePoint now);
  bool ApplyRecord(const ServerRecord& record, TimePoint now);
  void DropExpired(TimePoint now);

  std::map<std::string, Entry, std::less<>> m_entries;
  LeavingServers m_leaving;
  uint64_t m_revision = 0;
  // Highest revision of a removal without a tombstone. Records of unknown
  // servers, and lists, that are not newer may be from before that removal.
  uint64_t m_forgotten_revision = 0;
  TimePoint m_renewal_deadline;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_SERVER_DIRECTORY_H_
