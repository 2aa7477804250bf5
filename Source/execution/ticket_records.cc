#include "execution/ticket_records.h"

#include <utility>

namespace vanillatiller {

TicketUseResult TicketRecords::Use(const Ticket& ticket,
                                   const Sha256Digest& digest, TimePoint now) {
  Expire(now);
  const auto found = m_records.find(ticket.sequence);
  if (found != m_records.end()) {
    const Record& record = found->second;
    if (record.digest != digest) return {TicketUse::kRequestMismatch, nullptr};
    if (!record.answer) return {TicketUse::kRunning, nullptr};
    return {TicketUse::kAnswered, record.answer};
  }
  if (ticket.expiry + m_settings.margin < now) {
    return {TicketUse::kRecordExpired, nullptr};
  }
  if (ticket.expiry < now) return {TicketUse::kExpiredUnused, nullptr};
  if (m_records.size() >= m_settings.max_records ||
      m_bytes >= m_settings.max_bytes) {
    return {TicketUse::kFull, nullptr};
  }
  m_records.emplace(ticket.sequence, Record{digest, nullptr});
  m_expiry.Push(ticket.expiry + m_settings.margin, ticket.sequence);
  return {TicketUse::kRun, nullptr};
}

void TicketRecords::Complete(uint64_t sequence, StoredAnswer answer) {
  const auto found = m_records.find(sequence);
  if (found == m_records.end() || found->second.answer) return;
  if (m_bytes + answer.payload.size() >
      m_settings.max_bytes + m_settings.max_bytes / 8) {
    answer = {Outcome::kUnknown, {}};
  }
  m_bytes += answer.payload.size();
  found->second.answer =
      std::make_shared<const StoredAnswer>(std::move(answer));
}

void TicketRecords::Expire(TimePoint now) {
  while (m_expiry.IsDue(now)) {
    const uint64_t sequence = m_expiry.Pop();
    const auto found = m_records.find(sequence);
    if (!found->second.answer) {
      m_expiry.Push(now + m_settings.margin, sequence);
      continue;
    }
    m_bytes -= found->second.answer->payload.size();
    m_records.erase(found);
  }
}

}  // namespace vanillatiller
