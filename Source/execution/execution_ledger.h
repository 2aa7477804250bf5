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
  // Records of calls. Fences may use one eighth more.
  size_t max_records = 65536;
  // Bytes of kept answers, above which new calls are refused. Answers of calls
  // that run already may use one eighth more.
  size_t max_bytes = size_t{32} << 20;
  // How long a record outlives the deadline of its call.
  Duration margin = std::chrono::seconds(10);
  // Longest time left that a call may name.
  Duration max_remaining_time = std::chrono::hours(1);
};

enum class BeginResult : uint8_t {
  // Recorded: dispatch it, then call Complete().
  kRun,
  // The call was recorded before; it must not run again.
  kDuplicate,
  // The caller has been told that the call never runs.
  kFenced,
  // The deadline has passed, or lies too far ahead.
  kDeadlineOutOfRange,
  // The deadline passed so long ago that a record may have been dropped.
  kRecordExpired,
  kOtherIncarnation,
  // No room for a record.
  kFull,
};

// Refusal to answer with; kNone for kRun.
RefusalCode BeginRefusal(BeginResult result);

// Outcome to answer with: kUnknown where another copy of the call may have run,
// kNotRun for the other refusals. They are proofs because the transport
// delivers the message of a call at most once (one RPC on one TCP connection,
// without retries of the RPC library).
Outcome BeginOutcome(BeginResult result);

enum class FenceState : uint8_t {
  // The call finished; the answer is attached.
  kAnswered,
  // The call has not run and never will.
  kNeverRuns,
  kRunning,
  // Other incarnation, a record that may have been dropped, or no room to
  // record the fence.
  kUnknown,
};

struct FenceResult {
  FenceState state = FenceState::kUnknown;
  StoredAnswerPtr answer;
};

// The callee's record of the calls that it dispatches. Not thread-safe.
//
// Deadlines are readings of the callee's clock (see PeerClock), the same ones
// in every copy of a call and in its fence. A record is kept until the deadline
// plus a margin. After the deadline a call is refused, so a copy of a call
// whose record is gone never runs.
class ExecutionLedger {
 public:
  explicit ExecutionLedger(const LedgerSettings& settings)
      : m_settings(settings) {}

  // Records a call right before its dispatch.
  BeginResult Begin(const CallId& call, Incarnation callee, TimePoint deadline,
                    TimePoint now);

  // Keeps the answer of a call that runs. Other calls are ignored. An answer
  // that exceeds the bytes left is dropped and fences give kUnknown.
  void Complete(const CallId& call, StoredAnswer answer);

  // Gives the fate of the call, after settling it: a call that is not recorded
  // will never run.
  FenceResult Fence(const CallId& call, Incarnation callee, TimePoint deadline,
                    TimePoint now);

  // Drops records whose deadline passed more than the margin ago. Calls that
  // are still running stay.
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
