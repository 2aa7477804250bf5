#define BOOST_TEST_MODULE pipelining
#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "eventio/response_order.h"
#include "relay_harness.h"

namespace vanillatiller {
namespace {

using std::chrono::milliseconds;

HttpResponse ResponseWith(const std::string& body) { return {200, {}, body}; }

// Model of one connection: random requests start, are answered in any order,
// and the connection may be closing. Guards against responses out of order,
// lost or duplicate responses, non-idempotent requests beside others, and a
// close that cuts a started request off.
void CheckRandomInterleaving() {
  ResponseOrder order;
  std::vector<ResponseOrder::RequestId> running;
  std::map<ResponseOrder::RequestId, bool> idempotent;
  ResponseOrder::RequestId last_started = 0;
  ResponseOrder::RequestId last_sent = 0;
  bool was_closed = false;
  bool is_closing = false;
  const auto answer = [&](size_t index) {
    const ResponseOrder::RequestId id = running.at(index);
    running.erase(running.begin() + static_cast<ptrdiff_t>(index));
    for (const auto& ready :
         order.OnResponse(id, ResponseWith(std::to_string(id)))) {
      RC_ASSERT(!was_closed);
      RC_ASSERT(ready.response.body == std::to_string(++last_sent));
      RC_ASSERT(ready.is_last == (is_closing && last_sent == last_started));
      was_closed = ready.is_last;
    }
    RC_ASSERT(order.OnResponse(id, ResponseWith("again")).empty());
  };
  const auto steps =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
  for (const int step : steps) {
    if (step < 50) {
      const bool is_idempotent = step % 5 != 0;
      if (!order.MayStart(is_idempotent)) continue;
      RC_ASSERT(!is_closing);
      const bool is_alone = last_started == last_sent;
      RC_ASSERT(is_alone || (is_idempotent && idempotent[last_started]));
      last_started = order.Start(is_idempotent, false);
      idempotent[last_started] = is_idempotent;
      running.push_back(last_started);
      RC_ASSERT(running.size() <= ResponseOrder::kMaxConcurrent);
    } else if (step < 98) {
      if (!running.empty()) answer(static_cast<size_t>(step) % running.size());
    } else {
      order.Close();
      is_closing = true;
    }
    RC_ASSERT(order.Unanswered() == running);
  }
  while (!running.empty()) answer(running.size() / 2);
  RC_ASSERT(last_sent == last_started);
  RC_ASSERT(order.IsEmpty());
  RC_ASSERT(order.HeldBytes() == 0U);
}

BOOST_AUTO_TEST_CASE(ResponsesKeepTheirOrder) {
  BOOST_TEST(rc::check("random interleavings", CheckRandomInterleaving));
}

// A slow first request holds large responses back. No further requests may
// start, or the process runs out of memory.
BOOST_AUTO_TEST_CASE(HeldResponsesStopFurtherRequests) {
  ResponseOrder order;
  order.Start(true, false);
  const std::string large(ResponseOrder::kMaxHeldBytes / 4, 'x');
  size_t held = 0;
  while (order.MayStart(true)) {
    order.OnResponse(order.Start(true, false), ResponseWith(large));
    BOOST_TEST_REQUIRE(++held <= 4U);
  }
  BOOST_TEST(order.HeldBytes() == ResponseOrder::kMaxHeldBytes);
  BOOST_TEST(order.OnResponse(1, ResponseWith("")).size() == held + 1);
  BOOST_TEST(order.MayStart(true));
}

struct PipeliningFixture {
  PipeliningFixture()
      : client(&pair.loop, pair.front_settings.caller_listener) {}

  bool RunUntilArrived(size_t count) {
    return RunUntil(&pair.loop,
                    [&] { return pair.server.arrivals.size() >= count; });
  }
  size_t CountResponses() const {
    size_t count = 0;
    const std::string start = "HTTP/1.1 ";
    for (size_t at = client.received.find(start); at != std::string::npos;
         at = client.received.find(start, at + 1)) {
      ++count;
    }
    return count;
  }
  bool RunUntilAnswered(size_t count) {
    return RunUntil(&pair.loop, [&] { return CountResponses() >= count; });
  }
  bool Received(const std::string& text) const {
    return client.received.find(text) != std::string::npos;
  }

  RelayPair pair;
  RawClient client;
};

// Requests behind a slow one used to start only after its response.
BOOST_FIXTURE_TEST_CASE(IdempotentRequestsRunConcurrently, PipeliningFixture) {
  client.Write(RequestText("GET", "/hold", "a") +
               RequestText("GET", "/ok", "b") + RequestText("GET", "/ok", "c"));
  BOOST_TEST_REQUIRE(RunUntilArrived(3));
  RunFor(&pair.loop, milliseconds(50));
  BOOST_TEST(client.received.empty());
  pair.server.ReleaseHeldRequests(BootClock::now());
  BOOST_TEST_REQUIRE(RunUntilAnswered(3));
  const size_t a = client.received.find("body-a");
  const size_t b = client.received.find("body-b");
  const size_t c = client.received.find("body-c");
  BOOST_TEST(a < b);
  BOOST_TEST(b < c);
  BOOST_TEST(c != std::string::npos);
}

// A non-idempotent request behind another one must not run before it is next,
// because the client sends it again if an earlier response closes the
// connection.
BOOST_FIXTURE_TEST_CASE(NonIdempotentRequestRunsAlone, PipeliningFixture) {
  client.Write(RequestText("GET", "/hold", "a") +
               RequestText("POST", "/once/hold", "b", "body") +
               RequestText("GET", "/ok", "c"));
  BOOST_TEST_REQUIRE(RunUntilArrived(1));
  RunFor(&pair.loop, milliseconds(100));
  BOOST_TEST(pair.server.arrivals.size() == 1U);
  pair.server.ReleaseHeldRequests(BootClock::now());
  BOOST_TEST_REQUIRE(RunUntilArrived(2));
  RunFor(&pair.loop, milliseconds(100));
  BOOST_TEST(pair.server.arrivals.size() == 2U);
  pair.server.ReleaseHeldRequests(BootClock::now());
  BOOST_TEST_REQUIRE(RunUntilAnswered(3));
  BOOST_TEST(Received("body-c"));
}

// The response that closes the connection is that of the last started request,
// so no running request is cut off, and nothing behind it runs.
BOOST_FIXTURE_TEST_CASE(ClosesBehindTheLastStartedRequest, PipeliningFixture) {
  struct Case {
    const char* what;
    std::string behind;
    std::string last_response;
  };
  const std::string bad = "bad request line\r\n\r\n";
  const std::string close = "Connection: close\r\n";
  const std::vector<Case> cases = {
      {"unreadable request", bad + RequestText("GET", "/ok", "never"), " 400 "},
      {"close asked for",
       RequestText("GET", "/ok", "b", "", close) +
           RequestText("POST", "/once/ok", "never", "x"),
       "body-b"},
      {"headers too large", "GET /ok HTTP/1.1\r\nX: " + std::string(70000, 'x'),
       " 431 "},
  };
  for (const Case& item : cases) {
    BOOST_TEST_CONTEXT(item.what) {
      pair.server.arrivals.clear();
      RawClient other(&pair.loop, pair.front_settings.caller_listener);
      other.Write(RequestText("GET", "/hold", "a") + item.behind);
      BOOST_TEST_REQUIRE(RunUntilArrived(1));
      RunFor(&pair.loop, milliseconds(100));
      BOOST_TEST(other.received.empty());
      BOOST_TEST(!other.is_ended);
      pair.server.ReleaseHeldRequests(BootClock::now());
      BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return other.is_ended; }));
      const size_t first = other.received.find("body-a");
      const size_t last = other.received.find(item.last_response);
      const size_t closing = other.received.find("Connection: close");
      BOOST_TEST(first < last);
      BOOST_TEST(last != std::string::npos);
      BOOST_TEST(first < closing);
      BOOST_TEST(closing != std::string::npos);
      for (const auto& arrival : pair.server.arrivals) {
        BOOST_TEST(arrival.id != "never");
      }
    }
  }
}

// SIGTERM while pipelined requests run: all that have started are answered, and
// only the last response closes the connection.
BOOST_FIXTURE_TEST_CASE(PlannedStopAnswersStartedRequests, PipeliningFixture) {
  client.Write(RequestText("GET", "/hold", "a") +
               RequestText("GET", "/hold", "b"));
  BOOST_TEST_REQUIRE(RunUntilArrived(2));
  bool is_stopped = false;
  pair.front->Stop([&is_stopped] { is_stopped = true; }, BootClock::now());
  RunFor(&pair.loop, milliseconds(3000));
  pair.server.ReleaseHeldRequests(BootClock::now());
  BOOST_TEST_REQUIRE(
      RunUntil(&pair.loop, [&] { return client.is_ended && is_stopped; }));
  BOOST_TEST(CountResponses() == 2U);
  BOOST_TEST(client.received.find("body-a") <
             client.received.find("Connection: close"));
  BOOST_TEST(Received("body-b"));
}

// Requests arrive on kept connections in the moment of a planned stop, before
// callers can have noticed it. All of them must be answered.
BOOST_FIXTURE_TEST_CASE(PlannedStopAnswersRequestsOfTheSameMoment,
                        PipeliningFixture) {
  client.Write(RequestText("GET", "/ok", "kept"));
  BOOST_TEST_REQUIRE(RunUntilAnswered(1));
  client.Write(RequestText("GET", "/ok", "a") + RequestText("GET", "/ok", "b") +
               RequestText("POST", "/once/ok", "c", "body"));
  RawClient fresh(&pair.loop, pair.front_settings.caller_listener);
  fresh.Write(RequestText("POST", "/once/ok", "d", "body"));
  bool is_stopped = false;
  pair.front->Stop([&is_stopped] { is_stopped = true; }, BootClock::now());
  BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return is_stopped; }));
  BOOST_TEST(CountResponses() == 4U);
  for (const char* body : {"body-a", "body-b", "body-c"}) {
    BOOST_TEST(Received(body));
  }
  BOOST_TEST(fresh.received.find("body-d") != std::string::npos);
}

// The client leaves: all of its requests are cancelled, not only the first.
BOOST_FIXTURE_TEST_CASE(DisconnectCancelsAllRequests, PipeliningFixture) {
  client.Write(RequestText("GET", "/hold", "a") +
               RequestText("GET", "/hold", "b"));
  BOOST_TEST_REQUIRE(RunUntilArrived(2));
  client.Close();
  // The users' bound; the requests' own time ends after 5 s.
  RunFor(&pair.loop, milliseconds(500));
  BOOST_TEST(pair.server.disconnected.size() == 2U);
}

// An upload arrives slowly; the header timeout ends with its headers and must
// not cut it. Its time budget begins when it is complete.
BOOST_FIXTURE_TEST_CASE(SlowUploadIsServedWhole, PipeliningFixture) {
  const std::string body(200000, 'u');
  const std::string text = RequestText("POST", "/once/ok", "up", body);
  constexpr size_t kPieces = 5;
  for (size_t i = 0; i < kPieces; ++i) {
    const size_t from = text.size() * i / kPieces;
    client.Write(text.substr(from, text.size() * (i + 1) / kPieces - from));
    RunFor(&pair.loop, milliseconds(40));
  }
  BOOST_TEST_REQUIRE(RunUntilAnswered(1));
  BOOST_TEST(Received("body-up"));
  BOOST_TEST_REQUIRE(pair.server.arrivals.size() == 1U);
  BOOST_TEST((pair.server.arrivals[0].request.body == body));
}

// The client leaves, or the node stops, in the middle of an upload: nothing may
// run, and the node must not wait for the rest beyond its grace time.
BOOST_FIXTURE_TEST_CASE(PartialUploadNeverRuns, PipeliningFixture) {
  const std::string text =
      RequestText("POST", "/once/ok", "up", std::string(100000, 'u'));
  client.Write(text.substr(0, text.size() / 2));
  RunFor(&pair.loop, milliseconds(50));
  client.Close();
  RawClient slow(&pair.loop, pair.front_settings.caller_listener);
  slow.Write(text.substr(0, text.size() / 2));
  RunFor(&pair.loop, milliseconds(50));
  bool is_stopped = false;
  pair.front->Stop([&is_stopped] { is_stopped = true; }, BootClock::now());
  BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return is_stopped; }));
  BOOST_TEST(pair.server.arrivals.empty());
}

}  // namespace
}  // namespace vanillatiller
