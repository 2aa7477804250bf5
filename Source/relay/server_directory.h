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
#include "relay/state_revision.h"

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
  // When the platform's list last changed the record.
  StateRevision revision;
};

// This node's view of the backend servers.
//
// The platform drops a record when its server stops renewing it, which also
// happens while the list is unavailable for writes. Servers renew their records
// soon after the list is available again, so a record that is missing right
// after an outage is kept for a grace period.
//
// A list of a new era is a copy of an earlier one: servers that left or are
// leaving stand in it as they were before, and new ones are missing. What was
// known of a server then holds until its record has been written in the new era
// after the first list, or has outlived the time in which the platform drops
// the record of a server that has ended.
class ServerDirectory {
 public:
  // `record_lifetime`: time without a sign of life after which the platform
  // drops a server's record.
  explicit ServerDirectory(Duration record_lifetime = kDefaultRecordLifetime)
      : m_record_lifetime(record_lifetime) {}

  // Each returns whether Usable() or NextExpiry() may have changed.
  //
  // Applies one record.
  bool Apply(const ServerRecord& record, TimePoint now);
  // Applies the removal of a record at `revision`.
  bool Remove(std::string_view id, const StateRevision& revision,
              TimePoint now);
  // Applies the complete list at `revision`. Returns the number of changes.
  size_t ApplyList(const std::vector<ServerRecord>& list,
                   const StateRevision& revision, TimePoint now);
  // Applies what is due at `now`; see NextExpiry().
  void Advance(TimePoint now);
  // The server itself says that it is leaving. Returns whether a record that
  // may receive work is affected.
  bool MarkLeaving(const ServerIncarnation& server, TimePoint now);
  // The platform's list is readable again after an outage.
  void OnSourceAvailable(TimePoint now);

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
  // Next time at which a record expires, or one of a copy begins to count.
  std::optional<TimePoint> NextExpiry(TimePoint now) const;

  const StateRevision& revision() const { return m_revision; }
  size_t size() const { return m_entries.size(); }

 private:
  struct Entry {
    ServerRecord record;
    // Set if the list has no such record; the record remains present until this
    // time.
    std::optional<TimePoint> expires;
    StateRevision removed_revision;
    // A record of the present era that may be a copy from before what is known,
    // and the time at which it counts nevertheless.
    std::optional<ServerRecord> copy;
    TimePoint copy_counts_at;
  };

  static constexpr Duration kDefaultRecordLifetime = std::chrono::seconds(6);

  static bool IsPresent(const Entry& entry, TimePoint now);
  bool ApplyRecord(const ServerRecord& record, TimePoint now);
  // Whether the record may be older than what is known of its server.
  bool MayBeCopy(const Entry& entry, const ServerRecord& record,
                 TimePoint now) const;
  // The state of the list is known to be at least this.
  void AdvanceTo(const StateRevision& revision, TimePoint now);
  void DropExpired(TimePoint now);

  const Duration m_record_lifetime;
  std::map<std::string, Entry, std::less<>> m_entries;
  LeavingServers m_leaving;
  StateRevision m_revision;
  // The first known state of the present era, and when it became known.
  StateRevision m_era_start;
  TimePoint m_era_began;
  // Highest revision of a removal without a tombstone. Records of unknown
  // servers, and lists, that are not newer may be from before that removal.
  StateRevision m_forgotten_revision;
  TimePoint m_renewal_deadline;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_SERVER_DIRECTORY_H_
