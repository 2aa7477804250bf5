#define BOOST_TEST_MODULE execution
#include "execution/execution.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <string>

#include "absl/strings/escaping.h"

namespace vanillatiller {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};
constexpr Incarnation kIncarnation = 7;
constexpr CallId kCall{{1, 2}};

TicketIssuer MakeIssuer(Incarnation incarnation = kIncarnation,
                        std::string_view key = "0123456789abcdef") {
  Reason reason;
  auto issuer = TicketIssuer::Create("127.0.0.1:4000", incarnation, key,
                                     seconds(60), &reason);
  BOOST_TEST_REQUIRE(issuer.has_value(), reason.text);
  return std::move(*issuer);
}

// Guards against an issuer that rejects its own ticket or issues it twice.
BOOST_AUTO_TEST_CASE(TicketRoundTrip) {
  TicketIssuer issuer = MakeIssuer();
  const std::string text = issuer.Issue(kStart);
  const TicketCheck check = issuer.Verify(text, kStart + seconds(60));
  BOOST_TEST((check.status == TicketStatus::kValid));
  Reason reason;
  BOOST_TEST((ParseTicket(text, &reason) == check.ticket));
  BOOST_TEST(check.ticket.issuer == "127.0.0.1:4000");
  BOOST_TEST(issuer.Issue(kStart) != text);
  BOOST_TEST(text.find_first_of("+/= ") == std::string::npos);
}

// Guards against a wrong verification status; each one leads to another
// outcome.
BOOST_AUTO_TEST_CASE(TicketStatuses) {
  TicketIssuer issuer = MakeIssuer();
  const std::string text = issuer.Issue(kStart);
  struct Case {
    std::string text;
    TimePoint now;
    TicketStatus status;
  };
  const std::vector<Case> cases = {
      {text, kStart + seconds(61), TicketStatus::kExpired},
      {MakeIssuer(8).Issue(kStart), kStart, TicketStatus::kOtherIncarnation},
      {MakeIssuer(kIncarnation, "another key of 16").Issue(kStart), kStart,
       TicketStatus::kForged},
      {"", kStart, TicketStatus::kMalformed},
      {text.substr(1), kStart, TicketStatus::kMalformed},
      {text + "=", kStart, TicketStatus::kMalformed},
      {text + " ", kStart, TicketStatus::kMalformed},
      {std::string(100000, 'A'), kStart, TicketStatus::kMalformed},
  };
  for (const Case& row : cases) {
    BOOST_TEST((issuer.Verify(row.text, row.now).status == row.status),
               row.text.substr(0, 100));
  }
}

// Guards against a modified ticket that is accepted; the signature must cover
// every field.
BOOST_AUTO_TEST_CASE(TicketWithChangedByteIsNeverValid) {
  TicketIssuer issuer = MakeIssuer();
  std::string bytes;
  absl::WebSafeBase64Unescape(issuer.Issue(kStart), &bytes);
  for (size_t i = 0; i < bytes.size(); ++i) {
    std::string changed = bytes;
    changed[i] = static_cast<char>(changed[i] ^ 1);
    const TicketCheck check =
        issuer.Verify(absl::WebSafeBase64Escape(changed), kStart);
    BOOST_TEST((check.status != TicketStatus::kValid &&
                check.status != TicketStatus::kExpired));
  }
}

// Guards against an issuer with a short key, no incarnation or an invalid
// address.
BOOST_AUTO_TEST_CASE(IssuerNeedsKeyAndIncarnation) {
  Reason reason;
  const std::string key(16, 'k');
  for (const auto& issuer :
       {TicketIssuer::Create("a:1", 1, "short", seconds(1), &reason),
        TicketIssuer::Create("a:1", 0, key, seconds(1), &reason),
        TicketIssuer::Create("", 1, key, seconds(1), &reason),
        TicketIssuer::Create(std::string(256, 'a'), 1, key, seconds(1),
                             &reason)}) {
    BOOST_TEST(!issuer.has_value());
  }
}

Ticket MakeTicket(uint64_t sequence) {
  return {"a:1", kIncarnation, sequence, kStart + seconds(60)};
}

// Guards against a repeated request that runs again or gets the answer of
// another request.
BOOST_AUTO_TEST_CASE(TicketIsUsedByOneRequest) {
  TicketRecords records{TicketRecordsSettings{}};
  const Sha256Digest body = Sha256("body");
  const Ticket ticket = MakeTicket(1);
  BOOST_TEST((records.Use(ticket, body, kStart).use == TicketUse::kRun));
  BOOST_TEST((records.Use(ticket, body, kStart).use == TicketUse::kRunning));
  BOOST_TEST((records.Use(ticket, Sha256("other"), kStart).use ==
              TicketUse::kRequestMismatch));
  records.Complete(1, {Outcome::kComplete, "answer"});
  const TicketUseResult kept = records.Use(ticket, body, kStart + seconds(89));
  BOOST_TEST((kept.use == TicketUse::kAnswered));
  BOOST_TEST(kept.answer->payload == "answer");
  BOOST_TEST((records.Use(MakeTicket(2), body, kStart + seconds(61)).use ==
              TicketUse::kExpiredUnused));
  BOOST_TEST((records.Use(ticket, body, kStart + seconds(91)).use ==
              TicketUse::kRecordExpired));
  BOOST_TEST(records.StoredBytes() == 0U);
}

// Guards against dropping the record of a request that is still running.
BOOST_AUTO_TEST_CASE(RunningTicketOutlivesItsExpiry) {
  TicketRecords records{TicketRecordsSettings{}};
  const Sha256Digest body = Sha256("body");
  records.Use(MakeTicket(1), body, kStart);
  BOOST_TEST((records.Use(MakeTicket(1), body, kStart + seconds(300)).use ==
              TicketUse::kRunning));
}

// Guards against unbounded memory use, and against evicting a record to make
// room.
BOOST_AUTO_TEST_CASE(FullTicketRecordsRefuseNewRequests) {
  TicketRecordsSettings settings;
  settings.max_records = 2;
  settings.max_bytes = 100;
  TicketRecords records(settings);
  const Sha256Digest body = Sha256("body");
  records.Use(MakeTicket(1), body, kStart);
  records.Use(MakeTicket(2), body, kStart);
  BOOST_TEST(
      (records.Use(MakeTicket(3), body, kStart).use == TicketUse::kFull));
  records.Complete(1, {Outcome::kComplete, std::string(100, 'x')});
  records.Complete(2, {Outcome::kComplete, std::string(100, 'x')});
  BOOST_TEST(records.StoredBytes() <= 112U);
  const auto second = records.Use(MakeTicket(2), body, kStart);
  BOOST_TEST((second.answer->outcome == Outcome::kUnknown));
}

LedgerSettings MakeSettings() {
  LedgerSettings settings;
  settings.incarnation = kIncarnation;
  return settings;
}

constexpr TimePoint kDeadline = kStart + seconds(2);

BeginResult Begin(ExecutionLedger& ledger, TimePoint now) {
  return ledger.Begin(kCall, kIncarnation, kDeadline, now);
}

FenceState Fence(ExecutionLedger& ledger, TimePoint now) {
  return ledger.Fence(kCall, kIncarnation, kDeadline, now).state;
}

// Guards against a call that runs after its fence, which is the proof for the
// outcome "not run" (P4).
BOOST_AUTO_TEST_CASE(FencedCallNeverRuns) {
  ExecutionLedger ledger(MakeSettings());
  BOOST_TEST((Fence(ledger, kStart) == FenceState::kNeverRuns));
  BOOST_TEST((Begin(ledger, kStart) == BeginResult::kFenced));
  BOOST_TEST((Fence(ledger, kStart) == FenceState::kNeverRuns));
}

// Guards against executing a copy of a call (P5), and against a fence that
// reports "never runs" for a call that ran.
BOOST_AUTO_TEST_CASE(RecordedCallRunsOnce) {
  ExecutionLedger ledger(MakeSettings());
  BOOST_TEST((Begin(ledger, kStart) == BeginResult::kRun));
  BOOST_TEST((Begin(ledger, kStart) == BeginResult::kDuplicate));
  BOOST_TEST((Fence(ledger, kStart) == FenceState::kRunning));
  ledger.Complete(kCall, {Outcome::kComplete, "answer"});
  ledger.Complete(kCall, {Outcome::kComplete, "second"});
  const FenceResult result =
      ledger.Fence(kCall, kIncarnation, kDeadline, kDeadline + seconds(10));
  BOOST_TEST((result.state == FenceState::kAnswered));
  BOOST_TEST(result.answer->payload == "answer");
  BOOST_TEST((Begin(ledger, kDeadline) == BeginResult::kDuplicate));
  BOOST_TEST((Fence(ledger, kDeadline + seconds(11)) == FenceState::kAnswered));
  ledger.Expire(kDeadline + seconds(11));
  BOOST_TEST((Fence(ledger, kDeadline + seconds(11)) == FenceState::kUnknown));
  BOOST_TEST(
      (Begin(ledger, kDeadline + seconds(11)) == BeginResult::kRecordExpired));
  BOOST_TEST(ledger.StoredBytes() == 0U);
}

// Guards against executing a call that a paused process reads after the
// deadline.
BOOST_AUTO_TEST_CASE(CallPastDeadlineIsRefused) {
  ExecutionLedger ledger(MakeSettings());
  BOOST_TEST((Begin(ledger, kDeadline) == BeginResult::kDeadlineOutOfRange));
  BOOST_TEST((Fence(ledger, kDeadline + seconds(1)) == FenceState::kNeverRuns));
  BOOST_TEST((Fence(ledger, kDeadline + seconds(11)) == FenceState::kUnknown));
  BOOST_TEST((ledger.Begin(kCall, kIncarnation, TimePoint::max(), kStart) ==
              BeginResult::kDeadlineOutOfRange));
  BOOST_TEST(
      (ledger.Fence(kCall, kIncarnation, TimePoint::max(), kStart).state ==
       FenceState::kUnknown));
}

// Guards against a restarted callee that answers for calls of its previous
// incarnation.
BOOST_AUTO_TEST_CASE(OtherIncarnation) {
  ExecutionLedger ledger(MakeSettings());
  BOOST_TEST((ledger.Begin(kCall, 6, kDeadline, kStart) ==
              BeginResult::kOtherIncarnation));
  BOOST_TEST((ledger.Fence(kCall, 6, kDeadline, kStart).state ==
              FenceState::kUnknown));
}

// Guards against a full ledger that evicts a record or runs a call without one.
BOOST_AUTO_TEST_CASE(FullLedgerRefusesNewCalls) {
  LedgerSettings settings = MakeSettings();
  settings.max_records = 8;
  settings.max_bytes = 100;
  ExecutionLedger ledger(settings);
  for (uint64_t i = 1; i <= 8; ++i) {
    ledger.Begin({{9, i}}, kIncarnation, kDeadline, kStart);
  }
  BOOST_TEST((Begin(ledger, kStart) == BeginResult::kFull));
  BOOST_TEST((Fence(ledger, kStart) == FenceState::kNeverRuns));
  BOOST_TEST((ledger.Fence({{8, 8}}, kIncarnation, kDeadline, kStart).state ==
              FenceState::kUnknown));
  BOOST_TEST((ledger.Begin({{9, 1}}, kIncarnation, kDeadline, kStart) ==
              BeginResult::kDuplicate));
  for (uint64_t i = 1; i <= 8; ++i) {
    ledger.Complete({{9, i}}, {Outcome::kComplete, std::string(60, 'x')});
  }
  BOOST_TEST(ledger.StoredBytes() <= 112U);
  BOOST_TEST((ledger.Fence({{9, 8}}, kIncarnation, kDeadline, kStart).state ==
              FenceState::kUnknown));
}

// Guards against reporting "not run" for a copy of a call that may have run.
BOOST_AUTO_TEST_CASE(RefusalsOfBegin) {
  for (const BeginResult result :
       {BeginResult::kFenced, BeginResult::kDeadlineOutOfRange,
        BeginResult::kFull, BeginResult::kOtherIncarnation}) {
    BOOST_TEST((BeginOutcome(result) == Outcome::kNotRun));
  }
  BOOST_TEST((BeginOutcome(BeginResult::kDuplicate) == Outcome::kUnknown));
  BOOST_TEST((BeginOutcome(BeginResult::kRecordExpired) == Outcome::kUnknown));
  BOOST_TEST((BeginRefusal(BeginResult::kFenced) == RefusalCode::kFenced));
  BOOST_TEST((BeginRefusal(BeginResult::kRun) == RefusalCode::kNone));
}

// Guards against an estimate ahead of the peer's clock, which would let an
// expired call run, for any delay, offset and drift.
BOOST_AUTO_TEST_CASE(PeerClockIsALowerBound) {
  BOOST_TEST(rc::check("estimate is a lower bound", [] {
    const auto offset = milliseconds(*rc::gen::inRange(-1000000, 1000000));
    const auto drift_ppm = *rc::gen::inRange(-100, 100);
    const auto peer_time = [&](TimePoint when) {
      return when + offset + (when - kStart) / 1'000'000 * drift_ppm;
    };
    PeerClock clock;
    TimePoint now = kStart;
    const auto gaps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10000000));
    for (const int gap : gaps) {
      now += milliseconds(gap);
      const auto delay = milliseconds(*rc::gen::inRange(0, 1000));
      clock.Observe(kIncarnation, peer_time(now - delay), now);
      const auto later = now + milliseconds(*rc::gen::inRange(0, 100000000));
      RC_ASSERT(*clock.ToPeerTime(later) <= peer_time(later));
      // The estimate is at least as good as the newest reading.
      RC_ASSERT(*clock.ToPeerTime(now) >= peer_time(now - delay));
    }
  }));
}

// Guards against readings of an old incarnation that are used after a restart.
BOOST_AUTO_TEST_CASE(PeerClockIncarnations) {
  PeerClock clock;
  BOOST_TEST(!clock.ToPeerTime(kStart).has_value());
  clock.Observe(8, kStart + seconds(100), kStart);
  clock.Observe(7, kStart + seconds(900), kStart);
  BOOST_TEST((clock.ToPeerTime(kStart) == kStart + seconds(100)));
  clock.Observe(9, kStart + seconds(5), kStart);
  BOOST_TEST((clock.ToPeerTime(kStart) == kStart + seconds(5)));
  BOOST_TEST(clock.CurrentIncarnation() == 9U);
}

}  // namespace
}  // namespace vanillatiller
