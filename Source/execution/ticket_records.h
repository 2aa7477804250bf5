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
  // Total size of stored answers from which new uses are refused. Answers of
  // requests that are already running may exceed it by one eighth.
  size_t max_bytes = size_t{32} << 20;
  // How long a record is kept after the expiry of its ticket.
  Duration margin = std::chrono::seconds(30);
};

enum class TicketUse : uint8_t {
  // First use; the request must be run and then completed with Complete().
  kRun,
  // The same request is already running; its answer is pending.
  kRunning,
  // The same request has finished; the answer is attached.
  kAnswered,
  // The ticket was used by a different request; this one is not run.
  kRequestMismatch,
  // The limit on records or on stored bytes is reached; not run.
  kFull,
  // The ticket expired without having been used; not run.
  kExpiredUnused,
  // The ticket expired and its record may have been dropped; outcome unknown.
  kRecordExpired,
};

struct TicketUseResult {
  TicketUse use = TicketUse::kFull;
  StoredAnswerPtr answer;
};

// Records the uses of one issuer's tickets. A ticket is valid for one request;
// repeats of the request get the stored answer and do not run again. Not
// thread-safe.
class TicketRecords {
 public:
  explicit TicketRecords(const TicketRecordsSettings& settings)
      : m_settings(settings) {}

  // Uses a ticket that Verify() reported as kValid or kExpired. `digest` is the
  // hash of the service, method, tenant and body of the request.
  TicketUseResult Use(const Ticket& ticket, const Sha256Digest& digest,
                      TimePoint now);

  // Stores the answer of the request that runs with ticket `sequence`. Ignores
  // unknown and completed sequences. An answer that exceeds the size limit is
  // stored as outcome kUnknown without a payload.
  void Complete(uint64_t sequence, StoredAnswer answer);

  // Drops records whose tickets expired more than the margin ago, except those
  // of requests that are still running.
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
