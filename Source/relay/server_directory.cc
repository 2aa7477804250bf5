#include "relay/server_directory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace vanillatiller {

bool ServerDirectory::IsPresent(const Entry& entry, TimePoint now) {
  return !entry.expires || now < *entry.expires;
}

bool ServerDirectory::Apply(const ServerRecord& record, TimePoint now) {
  if (!m_entries.contains(record.id) &&
      record.revision <= m_forgotten_revision) {
    return false;
  }
  return ApplyRecord(record, now);
}

bool ServerDirectory::MayBeCopy(const Entry& entry, const ServerRecord& record,
                                TimePoint now) const {
  // Nothing is known of the server, or that has been written in this era.
  const StateRevision known =
      std::max(entry.record.revision, entry.removed_revision);
  if (known.IsZero() || known.era == record.revision.era) return false;
  // Written after the first list of the era.
  if (record.revision > m_era_start) return false;
  if (now - m_era_began >= m_record_lifetime) return false;
  // A later run is newer, and a server that is leaving does not stay.
  const bool is_later_run =
      !entry.record.id.empty() && record.started_ms > entry.record.started_ms;
  if (is_later_run || record.draining) return false;
  return entry.expires.has_value() || entry.record.draining;
}

bool ServerDirectory::ApplyRecord(const ServerRecord& record, TimePoint now) {
  AdvanceTo(record.revision, now);
  Entry& entry = m_entries[record.id];
  // The record is a delayed copy from before a restart of the server.
  if (record.started_ms < entry.record.started_ms) return false;
  if (record.revision < entry.record.revision ||
      record.revision <= entry.removed_revision) {
    return false;
  }
  if (MayBeCopy(entry, record, now)) {
    const bool is_known = entry.copy.has_value();
    entry.copy = record;
    entry.copy_counts_at = m_era_began + m_record_lifetime;
    return !is_known;
  }
  const ServerRecord& old = entry.record;
  const bool changed =
      !IsPresent(entry, now) || old.service != record.service ||
      old.address != record.address || old.draining != record.draining ||
      old.slots != record.slots || old.started_ms != record.started_ms;
  entry.record = record;
  entry.expires.reset();
  entry.copy.reset();
  return changed;
}

void ServerDirectory::AdvanceTo(const StateRevision& revision, TimePoint now) {
  if (revision <= m_revision) return;
  if (revision.era > m_revision.era) {
    m_era_start = revision;
    m_era_began = now;
  }
  m_revision = revision;
}

void ServerDirectory::Advance(TimePoint now) {
  for (auto& [id, entry] : m_entries) {
    if (!entry.copy || now < entry.copy_counts_at) continue;
    ApplyRecord(*std::exchange(entry.copy, std::nullopt), now);
  }
}

bool ServerDirectory::Remove(std::string_view id, const StateRevision& revision,
                             TimePoint now) {
  AdvanceTo(revision, now);
  const auto found = m_entries.find(id);
  if (found == m_entries.end()) {
    // A delayed copy of the record may follow.
    Entry& tombstone = m_entries[std::string(id)];
    tombstone.removed_revision = std::max(revision, m_forgotten_revision);
    tombstone.expires = now;
    return false;
  }
  Entry& entry = found->second;
  if (revision < entry.record.revision) return false;
  entry.removed_revision = std::max(entry.removed_revision, revision);
  if (entry.copy && entry.copy->revision <= revision) entry.copy.reset();
  if (entry.expires) return false;
  entry.expires = std::max(now, m_renewal_deadline);
  DropExpired(now);
  return true;
}

size_t ServerDirectory::ApplyList(const std::vector<ServerRecord>& list,
                                  const StateRevision& revision,
                                  TimePoint now) {
  if (revision < m_forgotten_revision) return 0;
  AdvanceTo(revision, now);
  size_t changes = 0;
  std::set<std::string_view> listed;
  for (const ServerRecord& record : list) {
    listed.insert(record.id);
    changes += ApplyRecord(record, now) ? 1 : 0;
  }
  std::vector<std::string> missing;
  for (const auto& [id, entry] : m_entries) {
    if (!listed.contains(id)) missing.push_back(id);
  }
  for (const std::string& id : missing) {
    changes += Remove(id, revision, now) ? 1 : 0;
  }
  return changes;
}

bool ServerDirectory::MarkLeaving(const ServerIncarnation& server,
                                  TimePoint now) {
  if (!m_leaving.Add(server, now)) return false;
  const auto found = m_entries.find(server.id);
  return found != m_entries.end() && IsPresent(found->second, now) &&
         m_leaving.Contains(server.id, found->second.record.started_ms);
}

void ServerDirectory::OnSourceAvailable(TimePoint now) {
  m_renewal_deadline = now + kRenewalGrace;
}

Duration ServerDirectory::RenewalLeft(TimePoint now) const {
  return std::max(Duration::zero(), m_renewal_deadline - now);
}

void ServerDirectory::ExtendRenewal(Duration left, TimePoint now) {
  m_renewal_deadline = std::max(m_renewal_deadline, now + left);
}

void ServerDirectory::DropExpired(TimePoint now) {
  // Removed entries are kept as tombstones, whose revisions reject delayed
  // copies of the record.
  static constexpr Duration kTombstoneLifetime = std::chrono::seconds(30);
  std::erase_if(m_entries, [this, now](const auto& item) {
    const Entry& entry = item.second;
    if (entry.copy || !entry.expires ||
        now - *entry.expires <= kTombstoneLifetime) {
      return false;
    }
    m_forgotten_revision =
        std::max(m_forgotten_revision, entry.removed_revision);
    return true;
  });
}

std::vector<const ServerRecord*> ServerDirectory::Usable(TimePoint now) const {
  // If several records share an address, the most recently started server owns
  // it.
  std::map<SocketAddress, const ServerRecord*> by_address;
  for (const auto& [id, entry] : m_entries) {
    if (!IsPresent(entry, now)) continue;
    const ServerRecord*& holder = by_address[entry.record.address];
    if (holder == nullptr || holder->started_ms < entry.record.started_ms) {
      holder = &entry.record;
    }
  }
  std::vector<const ServerRecord*> usable;
  for (const auto& [address, record] : by_address) {
    const bool is_leaving =
        record->draining || m_leaving.Contains(record->id, record->started_ms);
    if (!is_leaving) usable.push_back(record);
  }
  return usable;
}

const ServerRecord* ServerDirectory::FindByAddress(const SocketAddress& address,
                                                   TimePoint now) const {
  const ServerRecord* found = nullptr;
  for (const auto& [id, entry] : m_entries) {
    if (entry.record.address != address || !IsPresent(entry, now)) continue;
    if (found == nullptr || found->started_ms < entry.record.started_ms) {
      found = &entry.record;
    }
  }
  return found;
}

std::optional<TimePoint> ServerDirectory::NextExpiry(TimePoint now) const {
  std::optional<TimePoint> next;
  const auto consider = [&next, now](TimePoint time) {
    if (time > now && (!next || time < *next)) next = time;
  };
  for (const auto& [id, entry] : m_entries) {
    if (entry.expires) consider(*entry.expires);
    if (entry.copy) consider(entry.copy_counts_at);
  }
  return next;
}

}  // namespace vanillatiller
