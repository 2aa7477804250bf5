#define BOOST_TEST_MODULE byte_budget
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

#include "eventio/eventio.h"
#include "relay/frame_stream.h"

namespace vanillatiller {
namespace {

using Activity = HttpConnectionStatus::Activity;

constexpr size_t kCapacity = size_t{8} << 20;
constexpr std::array<ByteUse, kByteUses> kUses = {
    ByteUse::kOrdinaryRequest, ByteUse::kLargeRequest, ByteUse::kServerAnswer,
    ByteUse::kPeerAnswer,      ByteUse::kOutput,       ByteUse::kRetainedAnswer,
    ByteUse::kControl};

// Each use is refused at its own part of the capacity, so that one kind of
// traffic does not take the memory of another one.
BOOST_AUTO_TEST_CASE(UsesHaveLimits) {
  struct Case {
    const char* what;
    // In eighths of the capacity.
    ByteUse held;
    size_t held_eighths;
    ByteUse use;
    size_t eighths;
    bool fits;
  };
  using enum ByteUse;
  const Case cases[] = {
      {"the largest request in calm", kControl, 0, kLargeRequest, 6, true},
      {"a request beyond its part", kControl, 0, kLargeRequest, 7, false},
      {"large requests leave a part", kLargeRequest, 6, kOrdinaryRequest, 2,
       true},
      {"large requests beside others", kOrdinaryRequest, 2, kLargeRequest, 5,
       false},
      {"the share of ordinary requests", kOutput, 10, kOrdinaryRequest, 1,
       true},
      {"ordinary requests beyond it", kOutput, 10, kOrdinaryRequest, 2, false},
      {"answers beside large requests", kLargeRequest, 6, kPeerAnswer, 2, true},
      {"large answers leave a part", kPeerAnswer, 4, kPeerAnswer, 1, false},
      {"small answers use it", kPeerAnswer, 4, kOutput, 4, true},
      {"answers being read", kControl, 0, kServerAnswer, 3, false},
      {"control messages", kOutput, 10, kControl, 8, true},
  };
  for (const Case& item : cases) {
    BOOST_TEST_CONTEXT(item.what) {
      ByteBudget budget(kCapacity);
      budget.Take(item.held, item.held_eighths * kCapacity / 8);
      BOOST_TEST(budget.TryTake(item.use, item.eighths * kCapacity / 8) ==
                 item.fits);
    }
  }
}

// Requests stop beginning while answers use up their part: urgent ones later,
// and those with small answers last.
BOOST_AUTO_TEST_CASE(AnswersHoldRequestsBack) {
  struct Case {
    size_t eighths;
    bool any;
    bool urgent;
    bool small;
  };
  for (const Case& item : {Case{2, true, true, true},
                           {3, false, true, true},
                           {5, false, false, true},
                           {7, false, false, false}}) {
    ByteBudget budget(kCapacity);
    budget.Take(ByteUse::kOutput, item.eighths * kCapacity / 8);
    BOOST_TEST(budget.MayBeginRequest(false, false) == item.any);
    BOOST_TEST(budget.MayBeginRequest(true, false) == item.urgent);
    BOOST_TEST(budget.MayBeginRequest(false, true) == item.small);
  }
}

// What is held is given up only for a request that then fits, and only as far
// as needed.
BOOST_AUTO_TEST_CASE(ReclaimsOnlyWhatHelps) {
  ByteBudget budget(kCapacity);
  std::vector<ByteCharge> held;
  for (int i = 0; i < 6; ++i) {
    ByteCharge& charge = held.emplace_back(&budget, ByteUse::kLargeRequest);
    BOOST_TEST(charge.TryResize(kCapacity / 8));
  }
  size_t reclaimed = 0;
  budget.SetReclaimer([&](ByteUse) {
    if (held.empty()) return false;
    held.pop_back();
    ++reclaimed;
    return true;
  });
  BOOST_TEST(!budget.TryTake(ByteUse::kLargeRequest, kCapacity));
  BOOST_TEST(reclaimed == 0U);
  BOOST_TEST(budget.TryTake(ByteUse::kLargeRequest, kCapacity / 4));
  BOOST_TEST(reclaimed == 2U);
  // A connection that is closed releases its bytes later.
  budget.SetReclaimer([&](ByteUse) {
    ++reclaimed;
    return true;
  });
  BOOST_TEST(!budget.TryTake(ByteUse::kLargeRequest, kCapacity / 4));
  BOOST_TEST(reclaimed == 3U);
}

// Whatever happens to charges, the budget counts what they hold, and nothing
// once they are gone.
BOOST_AUTO_TEST_CASE(CountsWhatChargesHold) {
  BOOST_TEST(rc::check([] {
    ByteBudget budget(kCapacity);
    std::vector<ByteCharge> charges(4);
    for (ByteCharge& charge : charges) {
      charge = ByteCharge(&budget, *rc::gen::elementOf(kUses));
    }
    const auto steps = *rc::gen::inRange(0, 60);
    for (int i = 0; i < steps; ++i) {
      ByteCharge& charge =
          charges[*rc::gen::inRange<size_t>(0, charges.size())];
      const ByteUse use = *rc::gen::elementOf(kUses);
      const size_t bytes = *rc::gen::inRange<size_t>(0, kCapacity);
      const size_t before = charge.bytes();
      switch (*rc::gen::inRange(0, 5)) {
        case 0: {
          const bool is_taken = charge.TryResize(use, bytes);
          RC_ASSERT(charge.bytes() == (is_taken ? bytes : before));
          break;
        }
        case 1:
          charge.Resize(use, bytes / 8);
          break;
        case 2:
          charges.push_back(charge.Split(bytes));
          break;
        case 3:
          charges.push_back(std::move(charge));
          break;
        default:
          charge = ByteCharge(&budget, use);
          break;
      }
      size_t held = 0;
      for (const ByteCharge& each : charges) held += each.bytes();
      RC_ASSERT(budget.used() == held);
      const size_t ordinary = budget.used(ByteUse::kOrdinaryRequest);
      if (ordinary > kCapacity / 8) continue;
      RC_ASSERT(
          budget.HasRoom(ByteUse::kOrdinaryRequest, kCapacity / 8 - ordinary));
    }
    charges.clear();
    RC_ASSERT(budget.used() == 0U);
    for (const ByteUse use : kUses) {
      RC_ASSERT(budget.used(use) == 0U);
    }
  }));
}

TimePoint At(int seconds) {
  return TimePoint{} + std::chrono::seconds(seconds);
}

// Of the clients that make no progress, the one that holds the most gives way;
// those that make progress never do.
BOOST_AUTO_TEST_CASE(StalledConnectionsGiveWay) {
  struct Case {
    const char* what;
    std::vector<HttpConnectionStatus> connections;
    std::optional<size_t> chosen;
  };
  const Case cases[] = {
      {"none", {}, std::nullopt},
      {"progress", {{Activity::kReading, At(9), 100}}, std::nullopt},
      {"idle, busy and sending",
       {{Activity::kIdle, At(0), 0},
        {Activity::kBusy, At(0), 0},
        {Activity::kSending, At(0), 100}},
       std::nullopt},
      {"the largest",
       {{Activity::kReading, At(0), 10},
        {Activity::kReading, At(8), 30},
        {Activity::kReading, At(9), 90}},
       1},
  };
  for (const Case& item : cases) {
    BOOST_TEST_CONTEXT(item.what) {
      BOOST_TEST((ChooseStalledConnection(item.connections, Activity::kReading,
                                          std::chrono::seconds(2),
                                          At(10)) == item.chosen));
    }
  }
}

// A new connection takes the place of the one that has been idle for longest.
BOOST_AUTO_TEST_CASE(IdleConnectionsGiveWay) {
  struct Case {
    const char* what;
    std::vector<HttpConnectionStatus> connections;
    std::optional<size_t> chosen;
  };
  const Case cases[] = {
      {"none", {}, std::nullopt},
      {"none idle",
       {{Activity::kReading, At(0), 10},
        {Activity::kSending, At(0), 10},
        {Activity::kBusy, At(0), 0}},
       std::nullopt},
      {"the longest",
       {{Activity::kBusy, At(0), 0},
        {Activity::kIdle, At(7), 0},
        {Activity::kIdle, At(3), 0},
        {Activity::kIdle, At(5), 0}},
       2},
  };
  for (const Case& item : cases) {
    BOOST_TEST_CONTEXT(item.what) {
      BOOST_TEST((ChooseIdleConnection(item.connections) == item.chosen));
    }
  }
}

relay::Frame LargeCall(uint64_t id, size_t bytes) {
  relay::Frame frame;
  frame.mutable_call()->set_id(id);
  frame.mutable_call()->set_target("/a");
  frame.mutable_call()->set_body(std::string(bytes, 'b'));
  return frame;
}

// The body of a call that is encoded apart from it is that of the call.
BOOST_AUTO_TEST_CASE(EncodesBodiesApart) {
  for (const size_t bytes : {0, 1, 200, 70'000}) {
    const relay::Frame whole = LargeCall(7, bytes);
    relay::Call head = whole.call();
    head.clear_body();
    FrameReader reader;
    reader.Append(EncodeCallFrame(head, bytes) + whole.call().body());
    relay::Frame read;
    BOOST_TEST((reader.Next(&read) == FrameReader::Result::kFrame));
    BOOST_TEST(read.SerializeAsString() == whole.SerializeAsString());
  }
}

// A frame that is refused is skipped without a trace: its ID is known, all
// other frames are read, and control messages are never refused.
BOOST_AUTO_TEST_CASE(SkipsRefusedFrames) {
  BOOST_TEST(rc::check([] {
    ByteBudget budget(size_t{1} << 20);
    FrameReader reader(&budget, ByteUse::kLargeRequest);
    // Calls that fit, calls that do not, and control messages.
    const auto kinds = *rc::gen::container<std::vector<int>>(
        *rc::gen::inRange<size_t>(1, 8), rc::gen::inRange(0, 4));
    std::string stream;
    for (size_t i = 0; i < kinds.size(); ++i) {
      constexpr size_t kSizes[] = {10, 100'000, 900'000};
      relay::Frame frame;
      if (kinds[i] < 3) {
        frame = LargeCall(i + 1, kSizes[kinds[i]]);
      } else {
        frame.mutable_snapshot()->set_directory_revision(i + 1);
        frame.mutable_snapshot()->add_servers()->set_value(
            std::string(900'000, 's'));
      }
      stream += EncodeFrame(frame);
    }
    const size_t piece = *rc::gen::inRange<size_t>(50, 200'000);
    std::string_view left = stream;
    size_t next = 0;
    while (!left.empty()) {
      reader.Append(left.substr(0, piece));
      left.remove_prefix(std::min(piece, left.size()));
      relay::Frame frame;
      FrameReader::Result result;
      while ((result = reader.Next(&frame)) !=
             FrameReader::Result::kNeedsMore) {
        RC_ASSERT(next < kinds.size());
        RC_ASSERT(result != FrameReader::Result::kError);
        if (result == FrameReader::Result::kSkipped) {
          RC_ASSERT(kinds[next] == 2);
          RC_ASSERT(reader.skipped_id() == next + 1);
        } else if (kinds[next] < 3) {
          RC_ASSERT(frame.call().id() == next + 1);
        } else {
          RC_ASSERT(frame.snapshot().directory_revision() == next + 1);
        }
        ++next;
      }
      RC_ASSERT(budget.used(ByteUse::kLargeRequest) <= budget.LargestRequest());
    }
    RC_ASSERT(next == kinds.size());
  }));
}

// A body is refused by its head alone if it is announced, and no later than at
// its limit if it is not.
BOOST_AUTO_TEST_CASE(RequestsAreRefusedEarly) {
  using Result = HttpReader::Result;
  struct Case {
    const char* what;
    std::string text;
    Result result;
  };
  const std::string chunked =
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string chunk = "10000\r\n" + std::string(65536, 'x') + "\r\n";
  std::string chunks;
  for (int i = 0; i < 40; ++i) chunks += chunk;
  const Case cases[] = {
      {"beyond the limit",
       "POST / HTTP/1.1\r\nContent-Length: 10000000000\r\n\r\n",
       Result::kTooLarge},
      {"beyond the budget, never to be held",
       "POST / HTTP/1.1\r\nContent-Length: 1700000\r\n\r\n", Result::kTooLarge},
      {"beyond what is left",
       "POST / HTTP/1.1\r\nContent-Length: 1500000\r\n\r\n", Result::kNoMemory},
      {"within what is left",
       "POST / HTTP/1.1\r\nContent-Length: 500000\r\n\r\n", Result::kNeedsMore},
      {"chunks beyond what is left", chunked + chunks, Result::kNoMemory},
  };
  for (const Case& item : cases) {
    BOOST_TEST_CONTEXT(item.what) {
      ByteBudget budget(size_t{2} << 20);
      budget.Take(ByteUse::kOutput, 500'000);
      HttpReader reader(HttpReader::Kind::kRequests,
                        {size_t{16} << 10, size_t{2} << 20},
                        ByteCharge(&budget, ByteUse::kOrdinaryRequest));
      std::string_view data = item.text;
      BOOST_TEST((reader.Read(&data) == item.result));
      reader.Discard();
      BOOST_TEST(budget.used() == 500'000U);
    }
  }
}

}  // namespace
}  // namespace vanillatiller
