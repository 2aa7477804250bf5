#define BOOST_TEST_MODULE config_change
#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>

#include "relay_harness.h"

namespace vanillatiller {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

RelayConfig MakeConfig(uint64_t version, const CallerLimits& limits) {
  RelayRoute route;
  route.name = "many";
  route.authority = "test.example";
  route.prefix = "/";
  route.idempotent = true;
  route.timeout = seconds(5);
  route.max_attempts = 2;
  route.shares = {{"work", 1}};
  RelayConfig config;
  config.version = version;
  config.routes = {route};
  config.limits = limits;
  return config;
}

bool Contains(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

// A connection used to keep the limits of the configuration that was in force
// when it was opened: requests that a later version allows were answered with
// 413, 431 or 408, or met a closed connection, for as long as callers kept it.
BOOST_AUTO_TEST_CASE(LimitsOfKeptConnectionsFollowTheConfiguration) {
  struct Case {
    const char* what;
    CallerLimits before;
    // How long the caller is idle or pauses within its request.
    Duration pause;
    std::string first_part;
    std::string rest;
  };
  CallerLimits small_body;
  small_body.max_body_bytes = 10;
  CallerLimits small_header;
  small_header.max_header_bytes = 200;
  CallerLimits short_idle;
  short_idle.idle_timeout = milliseconds(300);
  CallerLimits short_header;
  short_header.header_timeout = milliseconds(300);
  const std::string request = RequestText("POST", "/ok", "r2", "0123456789a");
  const std::string large_header = RequestText(
      "GET", "/ok", "r2", "", "Padding: " + std::string(300, 'p') + "\r\n");
  const std::vector<Case> cases = {
      {"body", small_body, {}, "", request},
      {"header", small_header, {}, "", large_header},
      {"idle connection", short_idle, milliseconds(600), "", request},
      {"slow body", short_idle, milliseconds(600),
       request.substr(0, request.size() - 5),
       request.substr(request.size() - 5)},
      {"slow header", short_header, milliseconds(600), request.substr(0, 20),
       request.substr(20)},
  };
  for (const Case& item : cases) {
    for (const bool has_served : {false, true}) {
      BOOST_TEST_CONTEXT(item.what << ", connection has served: "
                                   << has_served) {
        RelayPair pair;
        pair.front->ApplyConfig(MakeConfig(2, item.before), BootClock::now());
        RawClient caller(&pair.loop, pair.front_settings.caller_listener);
        if (has_served) {
          caller.Write(RequestText("GET", "/ok", "r1"));
          BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] {
            return Contains(caller.received, "body-r1");
          }));
        } else {
          // The node has accepted the connection.
          RunFor(&pair.loop, milliseconds(50));
        }
        pair.front->ApplyConfig(MakeConfig(3, {}), BootClock::now());
        caller.Write(item.first_part);
        if (item.pause > Duration::zero()) RunFor(&pair.loop, item.pause);
        caller.Write(item.rest);
        BOOST_TEST(RunUntil(&pair.loop, [&] {
          return Contains(caller.received, "body-r2") || caller.is_ended;
        }));
        BOOST_TEST(Contains(caller.received, "body-r2"));
      }
    }
  }
}

// Limits that a version lowers hold on connections that were opened before.
BOOST_AUTO_TEST_CASE(LoweredLimitsHoldOnKeptConnections) {
  RelayPair pair;
  pair.front->ApplyConfig(MakeConfig(2, {}), BootClock::now());
  RawClient caller(&pair.loop, pair.front_settings.caller_listener);
  caller.Write(RequestText("GET", "/ok", "r1"));
  BOOST_TEST_REQUIRE(RunUntil(
      &pair.loop, [&] { return Contains(caller.received, "body-r1"); }));
  CallerLimits small_body;
  small_body.max_body_bytes = 10;
  pair.front->ApplyConfig(MakeConfig(3, small_body), BootClock::now());
  caller.Write(RequestText("POST", "/ok", "r2", "0123456789a"));
  BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return caller.is_ended; }));
  BOOST_TEST(Contains(caller.received, " 413 "));
}

// A source of the fleet state that answers as the test says.
struct FakeStore : FleetStateStore {
  bool IsPlatformUnreachable() const override { return false; }
  relay::View View() const override { return {}; }
  relay::Snapshot MakeSnapshot() const override { return {}; }
  void ApplySnapshot(const relay::Snapshot&, TimePoint) override {}
};

// A node that cannot know of a newer version used to answer 404, 413 and 431
// on the word of the one that it had, and callers do not repeat such requests.
BOOST_AUTO_TEST_CASE(OnlyAConfirmedConfigurationDenies) {
  struct Case {
    const char* what;
    std::string request;
    const char* denial;
  };
  CallerLimits limits;
  limits.max_body_bytes = 10;
  limits.max_header_bytes = 200;
  const std::string unknown_host =
      "GET /ok HTTP/1.1\r\nTest-Authority: other.example\r\nTest-Id: r1\r\n"
      "Test-Time-Left: 5000\r\n\r\n";
  const std::vector<Case> cases = {
      {"no route", unknown_host, " 404 "},
      {"body", RequestText("POST", "/ok", "r1", "0123456789a"), " 413 "},
      {"header",
       RequestText("GET", "/ok", "r1", "",
                   "Padding: " + std::string(300, 'p') + "\r\n"),
       " 431 "},
  };
  for (const Case& item : cases) {
    BOOST_TEST_CONTEXT(item.what) {
      RelayPair pair;
      FakeStore store;
      pair.front->SetFleetStateStore(&store);
      pair.front->ApplyConfig(MakeConfig(2, limits), BootClock::now());
      const auto send = [&pair, &item] {
        RawClient caller(&pair.loop, pair.front_settings.caller_listener);
        caller.Write(item.request);
        BOOST_TEST(RunUntil(
            &pair.loop, [&] { return Contains(caller.received, "\r\n\r\n"); }));
        return caller.received;
      };
      const std::string unconfirmed = send();
      BOOST_TEST(Contains(unconfirmed, " 503 "));
      BOOST_TEST(Contains(unconfirmed, "Retry-After: "));
      pair.front->OnConfigConfirmed(BootClock::now() + seconds(60));
      BOOST_TEST(Contains(send(), item.denial));
      pair.front.reset();
    }
  }
}

// Work goes on with the last known configuration while nobody can confirm it.
BOOST_AUTO_TEST_CASE(UnconfirmedConfigurationServes) {
  RelayPair pair;
  FakeStore store;
  pair.front->SetFleetStateStore(&store);
  const auto call = pair.Send("/ok", "r1");
  BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return call->is_over; }));
  BOOST_TEST(call->result.response.status == 200);
  pair.front.reset();
}

}  // namespace
}  // namespace vanillatiller
