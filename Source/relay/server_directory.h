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

namespace vanillatiller {

// One backend server as the platform lists it.
struct ServerRecord {
  std::string id;
  std::string service;
  SocketAddress address;
  std::string failure_domain;
  uint32_t slots = 1;
  // Takes no new work.
  bool draining = false;
  // Time for which it still works slowly after its start.
  Duration warmup_left{};
  // Start of the server by its own clock, in milliseconds; 0 if not known.
  // Tells runs apart that share an id.
  uint64_t started_ms = 0;
  // Revision of the list that the record is from.
  uint64_t revision = 0;
};

// What this node believes of the backend servers.
//
// Records expire from the platform's list when their server falls silent, also
// while the list could not be written. They are back soon after it can be. So
// a record that is missing right after the list was away still counts for a
// while.
class ServerDirectory {
 public:
  // Takes over one record; false if it changes nothing.
  bool Apply(const ServerRecord& record, TimePoint now);
  // The list has no such record since `revision`; false if it changes nothing.
  bool Remove(std::string_view id, uint64_t revision, TimePoint now);
  // The whole list at `revision`. Returns the number of changes.
  size_t ApplyList(const std::vector<ServerRecord>& list, uint64_t revision,
                   TimePoint now);
  // The list can be read again after it was away.
  void OnSourceRestored(TimePoint now);

  // Records that may be given work, of all services.
  std::vector<const ServerRecord*> Usable(TimePoint now) const;
  // The record of the server at `address` with the latest start, usable or
  // draining.
  const ServerRecord* FindByAddress(const SocketAddress& address,
                                    TimePoint now) const;
  // Next time at which the usable records change by themselves.
  std::optional<TimePoint> NextExpiry(TimePoint now) const;

  uint64_t revision() const { return m_revision; }
  size_t size() const { return m_entries.size(); }

 private:
  struct Entry {
    ServerRecord record;
    // The list has no such record; it counts until then.
    std::optional<TimePoint> expires;
    uint64_t removed_revision = 0;
  };

  static bool IsPresent(const Entry& entry, TimePoint now);
  void DropExpired(TimePoint now);

  // Time that servers have to renew lapsed records after the list is back: two
  // seconds by the platform's documentation, and a reading delay.
  static constexpr Duration kRenewalGrace = std::chrono::milliseconds(2300);

  std::map<std::string, Entry, std::less<>> m_entries;
  uint64_t m_revision = 0;
  TimePoint m_renewal_deadline;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_SERVER_DIRECTORY_H_
