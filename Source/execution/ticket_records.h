#ifndef VANILLATILLER_SOURCE_EXECUTION_TICKET_RECORDS_H_
#define VANILLATILLER_SOURCE_EXECUTION_TICKET_RECORDS_H_

#include <cstddef>
#include <cstdint>

#include "absl/container/flat_hash_map.h"
#include "base/base.h"
#include "execution/expiry_queue.h"
#include "execution/stored_answer.h"
#include "execution/ticket_issuer.h"

namespace vanillatiller {

struct TicketRecordsSettings {
  size_t max_records = 65536;
  // Bytes of kept answers, above which new uses are refused. Answers of
  // requests that run already may use one eighth more.
  size_t max_bytes = size_t{32} << 20;
  // How long a record outlives its ticket.
  Duration margin = std::chrono::seconds(30);
};

enum class TicketUse : uint8_t {
  // First use: run the request, then call Complete().
  kRun,
  // The same request is running: wait for its answer.
  kRunning,
  // The same request has finished; the answer is attached.
  kAnswered,
  // The ticket was used by a request with another body; not run.
  kRequestMismatch,
  // Too many records; not run.
  kFull,
  // The ticket is expired and was never used; not run.
  kExpiredUnused,
  // The ticket is expired and its record may be gone; outcome unknown.
  kRecordExpired,
};

struct TicketUseResult {
  TicketUse use = TicketUse::kFull;
  StoredAnswerPtr answer;
};

// The uses of one issuer's tickets. A ticket is used by one request: repeats of
// it get the same answer and never run again. Not thread-safe.
class TicketRecords {
 public:
  explicit TicketRecords(const TicketRecordsSettings& settings)
      : m_settings(settings) {}

  // Uses a ticket that Verify() found valid or expired, for a request whose
  // service, method, tenant and body hash to `digest`.
  TicketUseResult Use(const Ticket& ticket, const Sha256Digest& digest,
                      TimePoint now);

  // Keeps the answer of the request that runs under `sequence`. Unknown and
  // finished sequences are ignored. An answer that exceeds the bytes left is
  // kept as outcome kUnknown without payload.
  void Complete(uint64_t sequence, StoredAnswer answer);

  // Drops records whose tickets expired more than the margin ago.
  void Expire(TimePoint now);

  size_t Records() const { return m_records.size(); }
  size_t StoredBytes() const { return m_bytes; }

 private:
  struct Record {
    Sha256Digest digest{};
    StoredAnswerPtr answer;
  };

  TicketRecordsSettings m_settings;
  absl::flat_hash_map<uint64_t, Record> m_records;
  ExpiryQueue<uint64_t> m_expiry;
  size_t m_bytes = 0;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_EXECUTION_TICKET_RECORDS_H_
