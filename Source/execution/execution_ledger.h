#ifndef VANILLATILLER_SOURCE_EXECUTION_EXECUTION_LEDGER_H_
#define VANILLATILLER_SOURCE_EXECUTION_EXECUTION_LEDGER_H_

#include <cstdint>

#include "absl/container/flat_hash_map.h"
#include "base/base.h"
#include "execution/expiry_queue.h"
#include "execution/stored_answer.h"

namespace vanillatiller {

struct LedgerSettings {
  // Incarnation of this callee.
  Incarnation incarnation = 0;
  // Maximum number of records. Fences may exceed it by one eighth.
  size_t max_records = 65536;
  // Total size of stored answers from which new calls are refused. Answers of
  // calls that are already running may exceed it by one eighth.
  size_t max_bytes = size_t{32} << 20;
  // How long a record is kept after the deadline of its call.
  Duration margin = std::chrono::seconds(10);
  // Maximum time from now to the deadline of a call.
  Duration max_remaining_time = std::chrono::hours(1);
};

enum class BeginResult : uint8_t {
  // The call was recorded; it must be dispatched and then completed with
  // Complete().
  kRun,
  // The call is already recorded and must not run again.
  kDuplicate,
  // The call is fenced: its caller was told that it never runs.
  kFenced,
  // The deadline has passed or is too far in the future.
  kDeadlineOutOfRange,
  // The deadline passed more than the margin ago, so that a record of the call
  // may have been dropped.
  kRecordExpired,
  kOtherIncarnation,
  // The limit on records or on stored bytes is reached.
  kFull,
};

// Returns the refusal code for the answer; kNone for kRun.
RefusalCode BeginRefusal(BeginResult result);

// Returns the outcome for the answer: kUnknown if another copy of the call may
// have run, kNotRun for the other refusals. kNotRun is conclusive because the
// transport delivers the message of a call at most once (one RPC on one TCP
// connection, without retries by the RPC library).
Outcome BeginOutcome(BeginResult result);

enum class FenceState : uint8_t {
  // The call has finished; the answer is attached.
  kAnswered,
  // The call has not run and never will.
  kNeverRuns,
  kRunning,
  // The call belongs to another incarnation, its record may have been dropped,
  // or the fence could not be recorded.
  kUnknown,
};

struct FenceResult {
  FenceState state = FenceState::kUnknown;
  StoredAnswerPtr answer;
};

// Records the calls that a callee dispatches. Not thread-safe.
//
// Deadlines are on the callee's clock (see PeerClock) and identical in all
// copies of a call and in its fence. A record is kept until the deadline plus a
// margin. Calls are refused after their deadline, so a copy of a call whose
// record was dropped never runs.
class ExecutionLedger {
 public:
  explicit ExecutionLedger(const LedgerSettings& settings)
      : m_settings(settings) {}

  // Records a call. To be called immediately before its dispatch.
  BeginResult Begin(const CallId& call, Incarnation callee, TimePoint deadline,
                    TimePoint now);

  // Stores the answer of a running call; ignores other calls. An answer that
  // exceeds the size limit is dropped, and fences then return kUnknown.
  void Complete(const CallId& call, StoredAnswer answer);

  // Returns the state of a call. If the call is not recorded, fences it so that
  // it never runs.
  FenceResult Fence(const CallId& call, Incarnation callee, TimePoint deadline,
                    TimePoint now);

  // Drops records whose deadline passed more than the margin ago, except those
  // of calls that are still running.
  void Expire(TimePoint now);

  size_t Records() const { return m_records.size(); }
  size_t StoredBytes() const { return m_bytes; }

 private:
  enum class State : uint8_t { kRunning, kAnswered, kFenced };
  struct Record {
    State state = State::kRunning;
    StoredAnswerPtr answer;
  };

  FenceResult Describe(const Record& record) const;
  void Add(const CallId& call, State state, TimePoint deadline);

  LedgerSettings m_settings;
  absl::flat_hash_map<CallId, Record, WideIdHash> m_records;
  ExpiryQueue<CallId> m_expiry;
  size_t m_bytes = 0;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_EXECUTION_EXECUTION_LEDGER_H_
