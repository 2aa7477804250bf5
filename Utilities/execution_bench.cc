// Measures the time and heap memory per call in the ledger, per ticket and per
// retry share. The results are recorded in docs/CAPACITY.md.
//
//   build/Utilities/execution_bench

#include <malloc.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "execution/execution.h"
#include "retry/retry.h"

namespace vanillatiller {
namespace {

// Number of records that one node holds at the target load: 118 calls per
// second retained for a timeout of 2 s and a margin of 10 s, and the same
// number again for a burst.
constexpr uint64_t kRecords = 4096;
constexpr int kRepeats = 11;
constexpr size_t kAnswerSize = 1024;
constexpr TimePoint kStart{std::chrono::seconds(1000)};
constexpr Incarnation kIncarnation = 7;

// Runs `work`, which performs `count` operations, kRepeats times and prints the
// median and the range of the time per operation.
void Measure(const char* name, uint64_t count,
             const std::function<void()>& prepare,
             const std::function<void()>& work) {
  std::vector<double> samples;
  for (int i = 0; i < kRepeats; ++i) {
    prepare();
    const TimePoint begin = BootClock::now();
    work();
    const std::chrono::duration<double, std::nano> taken =
        BootClock::now() - begin;
    samples.push_back(taken.count() / static_cast<double>(count));
  }
  std::sort(samples.begin(), samples.end());
  std::printf("%-28s %8.0f ns  (%.0f to %.0f)\n", name,
              samples[samples.size() / 2], samples.front(), samples.back());
}

size_t HeapBytes() { return mallinfo2().uordblks + mallinfo2().hblkhd; }

CallId IdOf(uint64_t index) { return {{MixHash(index, 1), MixHash(index, 2)}}; }

LedgerSettings Settings() {
  LedgerSettings settings;
  settings.incarnation = kIncarnation;
  return settings;
}

void BeginAll(ExecutionLedger& ledger) {
  const TimePoint deadline = kStart + std::chrono::seconds(2);
  for (uint64_t i = 0; i < kRecords; ++i) {
    ledger.Begin(IdOf(i), kIncarnation, deadline, kStart);
  }
}

void CompleteAll(ExecutionLedger& ledger, size_t size) {
  for (uint64_t i = 0; i < kRecords; ++i) {
    ledger.Complete(IdOf(i), {Outcome::kComplete, std::string(size, 'x')});
  }
}

void MeasureLedger() {
  std::optional<ExecutionLedger> ledger;
  const TimePoint deadline = kStart + std::chrono::seconds(2);
  const auto recreate = [&] { ledger.emplace(Settings()); };
  const auto begin_calls = [&] {
    recreate();
    BeginAll(*ledger);
  };
  const auto complete_calls = [&] {
    begin_calls();
    CompleteAll(*ledger, kAnswerSize);
  };
  Measure("ledger: Begin", kRecords, recreate, [&] { BeginAll(*ledger); });
  Measure("ledger: Complete, 1 KiB", kRecords, begin_calls,
          [&] { CompleteAll(*ledger, kAnswerSize); });
  Measure("ledger: Fence", kRecords, complete_calls, [&] {
    for (uint64_t i = 0; i < kRecords; ++i) {
      ledger->Fence(IdOf(i), kIncarnation, deadline, kStart);
    }
  });
  Measure("ledger: Expire", kRecords, complete_calls,
          [&] { ledger->Expire(kStart + std::chrono::seconds(100)); });
  ledger.reset();
  const size_t before = HeapBytes();
  recreate();
  BeginAll(*ledger);
  CompleteAll(*ledger, 0);
  std::printf("%-28s %8zu bytes without the answer\n", "ledger: record",
              (HeapBytes() - before) / kRecords);
}

void MeasureTickets() {
  Reason reason;
  auto issuer =
      TicketIssuer::Create("127.0.0.1:4000", kIncarnation, std::string(32, 'k'),
                           std::chrono::seconds(60), &reason);
  std::vector<std::string> texts(kRecords);
  std::vector<Ticket> tickets(kRecords);
  const auto no_setup = [] {};
  Measure("ticket: Issue", kRecords, no_setup, [&] {
    for (std::string& text : texts) text = issuer->Issue(kStart);
  });
  Measure("ticket: Verify", kRecords, no_setup, [&] {
    for (size_t i = 0; i < texts.size(); ++i) {
      tickets[i] = issuer->Verify(texts[i], kStart).ticket;
    }
  });
  std::printf("%-28s %8zu bytes of text\n", "ticket", texts[0].size());
  std::optional<TicketRecords> records;
  const auto recreate = [&] { records.emplace(TicketRecordsSettings{}); };
  const Sha256Digest digest = Sha256("body");
  const auto use_all = [&] {
    for (const Ticket& ticket : tickets) records->Use(ticket, digest, kStart);
  };
  Measure("ticket records: Use", kRecords, recreate, use_all);
  records.reset();
  const size_t before = HeapBytes();
  recreate();
  use_all();
  std::printf("%-28s %8zu bytes without the answer\n", "ticket records: record",
              (HeapBytes() - before) / kRecords);
}

void MeasureRetry() {
  const auto chain = ChainBudget::Create(3);
  Measure(
      "chain budget: share", kRecords, [] {},
      [&] {
        for (uint64_t i = 0; i < kRecords; ++i) {
          chain->TakeFirst(CalleeKind::kNonLeaf).RefundAll();
        }
      });
}

}  // namespace
}  // namespace vanillatiller

int main() {
  vanillatiller::MeasureLedger();
  vanillatiller::MeasureTickets();
  vanillatiller::MeasureRetry();
  return 0;
}
