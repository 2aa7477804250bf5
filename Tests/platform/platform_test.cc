#define BOOST_TEST_MODULE platform
#include <boost/test/unit_test.hpp>
#include <deque>
#include <string>
#include <vector>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "platform/node_settings.h"
#include "platform/store_client.h"
#include "relay_harness.h"

namespace vanillatiller::platform {
namespace {

using std::chrono::milliseconds;

constexpr const char* kSettings = R"(
node_name = "vm-1"
ip = "10.1.0.8"
zone = "z1"
region = "r1"
bootstrap = true
bounds = ["grace_s=6","retry_budget_ratio=0.2"]
app_addr = "10.1.0.8:8301"
service = "work"
something_new = [1, 2]
[zones]
z1 = "r1"
z2 = "r2"
[listen]
inbound = "10.1.0.8:8300"
outbound = "10.1.0.8:8304"
ready = "10.1.0.8:8302"
[platform]
address = "10.200.1.7:8309"
)";

BOOST_AUTO_TEST_CASE(ReadsSettings) {
  Findings findings;
  const auto settings = ParseNodeSettings(kSettings, "node.toml", &findings);
  BOOST_TEST_REQUIRE(settings.has_value(), FormatFindings(findings));
  BOOST_TEST(settings->relay.vm == "vm-1");
  BOOST_TEST(settings->relay.caller_listener.ToString() == "10.1.0.8:8304");
  BOOST_TEST(settings->relay.peer_listener.ToString() == "10.1.0.8:8300");
  BOOST_TEST(settings->relay.server.ToString() == "10.1.0.8:8301");
  BOOST_TEST(settings->relay.locality.regions.at("z2") == "r2");
  BOOST_TEST((settings->relay.stop_grace == std::chrono::seconds(6)));
  BOOST_TEST(settings->store.ToString() == "10.200.1.7:8309");
  BOOST_TEST(settings->is_fleet_start);
}

BOOST_AUTO_TEST_CASE(ReportsAllSettingsErrors) {
  struct Case {
    const char* what;
    std::string text;
    size_t findings;
  };
  const std::string good = kSettings;
  const auto replaced = [&good](const std::string& from,
                                const std::string& to) {
    std::string text = good;
    return text.replace(text.find(from), from.size(), to);
  };
  const std::vector<Case> cases = {
      {"no service", replaced("service = \"work\"\n", ""), 1},
      {"bad address", replaced("10.1.0.8:8301", "10.1.0.8"), 1},
      {"bad port", replaced("10.1.0.8:8301", "10.1.0.8:99999"), 1},
      {"no store", replaced("[platform]\naddress", "[other]\naddress"), 1},
      {"not TOML", "= =", 1},
      {"empty", "", 7},
  };
  for (const Case& item : cases) {
    BOOST_TEST_CONTEXT(item.what) {
      Findings findings;
      BOOST_TEST(!ParseNodeSettings(item.text, "node.toml", &findings));
      BOOST_TEST(findings.size() == item.findings, FormatFindings(findings));
    }
  }
}

constexpr const char* kConfig = R"({"version":7,"limits":
{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout_ms":3000,
"idle_timeout_ms":15000},"listeners":[{"host":"a.example","rules":[
{"name":"r1","type":"unsafe","target_latency_ms":4000,"priority":2,
"match":{"prefix":"/p/"},"action":{"service":"work","timeout_ms":2000,
"max_attempts":2}},{"name":"r2","type":"safe","target_latency_ms":1500,
"priority":1,"match":{"prefix":"/q/"},"action":{"traffic_split":
[{"service":"work","weight":90},{"service":"rest","weight":10}],
"timeout_ms":1500,"max_attempts":3}}]}],"clusters":[]})";

// What may be held for callers follows from the limits of the VM, unless it is
// set. A value that cannot be meant is an error if it is our own, and ignored
// if it is the platform's.
BOOST_AUTO_TEST_CASE(DerivesHoldingLimits) {
  struct Case {
    const char* what;
    std::string text;
    size_t findings;
    size_t memory_mib;
    size_t connections;
    int stall_ms;
  };
  const Case cases[] = {
      {"no limits", "", 0, 128, 2048, 1000},
      {"limits of the VM", "[limits]\nmemory_mb = 260\nmax_fds = 4100\n", 0,
       130, 2050, 1000},
      {"limits that cannot be read",
       "[limits]\nmemory_mb = \"\"\nmax_fds = -1\n", 0, 128, 2048, 1000},
      {"own limits",
       "[limits]\nmemory_mb = 260\n[holding]\nbudget_mb = 40\n"
       "connections = 100\nstall_ms = 500\n",
       0, 40, 100, 500},
      {"own limits out of range",
       "[holding]\nbudget_mb = 1\nconnections = 0\nstall_ms = 0\n", 3, 0, 0, 0},
      {"more than the VM has",
       "[limits]\nmemory_mb = 260\n[holding]\nbudget_mb = 300\n", 1, 0, 0, 0},
      {"unknown field", "[holding]\nbudget = 40\n", 1, 0, 0, 0},
  };
  for (const Case& item : cases) {
    BOOST_TEST_CONTEXT(item.what) {
      Findings findings;
      const auto settings =
          ParseNodeSettings(kSettings + item.text, "node.toml", &findings);
      BOOST_TEST(findings.size() == item.findings);
      BOOST_TEST_REQUIRE(settings.has_value() == (item.findings == 0));
      if (!settings) continue;
      const HoldingLimits& holding = settings->relay.holding;
      BOOST_TEST(holding.memory_bytes == item.memory_mib << 20);
      BOOST_TEST(holding.callers.max_connections == item.connections);
      BOOST_TEST((holding.callers.stall_time == milliseconds(item.stall_ms)));
    }
  }
}

BOOST_AUTO_TEST_CASE(DecodesTheConfiguration) {
  std::string reason;
  const auto config = DecodeConfig(kConfig, &reason);
  BOOST_TEST_REQUIRE(config.has_value(), reason);
  BOOST_TEST(config->version == 7U);
  BOOST_TEST((config->limits.idle_timeout == std::chrono::seconds(15)));
  BOOST_TEST_REQUIRE(config->routes.size() == 2U);
  const RelayRoute& once = config->routes[0];
  BOOST_TEST(!once.idempotent);
  BOOST_TEST(once.rank == 2U);
  BOOST_TEST((once.timeout == milliseconds(2000)));
  BOOST_TEST((once.objective == milliseconds(4000)));
  const RelayRoute& split = config->routes[1];
  BOOST_TEST(split.idempotent);
  BOOST_TEST(split.max_attempts == 3U);
  BOOST_TEST_REQUIRE(split.shares.size() == 2U);
  BOOST_TEST(split.shares[1].service == "rest");
  BOOST_TEST(split.shares[1].weight == 10U);
}

std::string ServerValue(const std::string& state, const std::string& extra) {
  return R"({"address":"127.0.0.9:8080","info":{"service":"work",
"version":"v1","zone":"z1","slots":72},"status":{"state":")" +
         state + R"(","sequence":4,"warmup_remaining_ms":0})" + extra + "}";
}

std::string ServerValueWith(const std::string& from, const std::string& to) {
  std::string value = ServerValue("ready", "");
  return value.replace(value.find(from), from.size(), to);
}

std::string WithAddress(const std::string& address) {
  return ServerValueWith("127.0.0.9:8080", address);
}

std::string WithSlots(const std::string& slots) {
  return ServerValueWith("\"slots\":72", "\"slots\":" + slots);
}

std::string Nested(const std::string& opening, size_t depth) {
  std::string text;
  for (size_t i = 0; i < depth; ++i) text += opening;
  return text;
}

// Malformed records from other writers must be ignored.
BOOST_AUTO_TEST_CASE(DecodesOnlyValidServerRecords) {
  struct Case {
    const char* what;
    std::string value;
    bool is_server;
  };
  const std::vector<Case> cases = {
      {"ready", ServerValue("ready", ""), true},
      {"draining", ServerValue("draining", ""), true},
      {"with a start", ServerValue("ready", ",\"born\":1700000000000"), true},
      {"unknown state", ServerValue("waiting", ""), false},
      {"start is text", ServerValue("ready", ",\"born\":\"x\""), false},
      {"no status",
       R"({"address":"127.0.0.9:8080","info":{"service":"work","zone":"z1",
"slots":72}})",
       false},
      {"slots are text",
       R"({"address":"127.0.0.9:8080","info":{"service":"work","zone":"z1",
"slots":"72"},"status":{"state":"ready","sequence":1,
"warmup_remaining_ms":0}})",
       false},
      {"a list", "[]", false},
      {"not JSON", "\x80\x01", false},
      {"empty", "", false},
      {"too large", ServerValue("ready", "") + std::string(20000, ' '), false},
      {"nested objects", Nested("{\"a\":", 3000), false},
      {"nested lists", Nested("[", 8000), false},
      {"start before 1970", ServerValue("ready", ",\"born\":-1"), false},
      {"start in the far future", ServerValue("ready", ",\"born\":1e15"),
       false},
      {"start with a fraction", ServerValue("ready", ",\"born\":1.5"), false},
      {"port 0", WithAddress("127.0.0.9:0"), false},
      {"port 65536", WithAddress("127.0.0.9:65536"), false},
      {"port -1", WithAddress("127.0.0.9:-1"), false},
      {"port with a sign", WithAddress("127.0.0.9:+80"), false},
      {"port with a space", WithAddress("127.0.0.9: 80"), false},
      {"no port", WithAddress("127.0.0.9"), false},
      {"name for an address", WithAddress("server.example:80"), false},
      {"number of slots -5", WithSlots("-5"), false},
      {"number of slots 0", WithSlots("0"), false},
      {"number of slots 2^32+1", WithSlots("4294967297"), false},
      {"number of slots 2^64", WithSlots("18446744073709551616"), false},
      {"number of slots 1e300", WithSlots("1e300"), false},
      {"number of slots 1e999", WithSlots("1e999"), false},
      {"number of slots 1.5", WithSlots("1.5"), false},
      {"number of slots true", WithSlots("true"), false},
      {"number of slots null", WithSlots("null"), false},
      {"number of slots 72.0", WithSlots("72.0"), true},
  };
  for (const Case& item : cases) {
    BOOST_TEST_CONTEXT(item.what) {
      std::string reason;
      const auto record =
          DecodeServer({"servers/i-1", item.value, {0, 5}, false}, &reason);
      BOOST_TEST(record.has_value() == item.is_server);
      if (record) BOOST_TEST(record->id == "i-1");
    }
  }
}

std::string Item(const std::string& key, const std::string& value,
                 uint64_t revision) {
  std::string encoded;
  absl::Base64Escape(value, &encoded);
  return R"({"key":")" + key + R"(","value":")" + encoded + R"(","revision":)" +
         std::to_string(revision) +
         R"(,"created_rev":1,"lease":0,"current_rev":)" +
         std::to_string(revision) + "}";
}

// Numbers that do not fit were converted without a check. A version of -1
// became the highest one, so that no later configuration was applied.
BOOST_AUTO_TEST_CASE(RefusesConfigurationsWithBadNumbers) {
  struct Case {
    const char* what;
    std::string from;
    std::string to;
  };
  const std::vector<Case> cases = {
      {"version -1", "\"version\":7", "\"version\":-1"},
      {"version 0", "\"version\":7", "\"version\":0"},
      {"version 2^64", "\"version\":7", "\"version\":18446744073709551616"},
      {"version text", "\"version\":7", "\"version\":\"7\""},
      {"priority -1", "\"priority\":2", "\"priority\":-1"},
      {"weight -90", "\"weight\":90", "\"weight\":-90"},
      {"attempts 0", "\"max_attempts\":2", "\"max_attempts\":0"},
      {"timeout -1", "\"timeout_ms\":2000", "\"timeout_ms\":-1"},
      {"limit -1", "\"max_body_bytes\":1000", "\"max_body_bytes\":-1"},
      {"rules are no list", "\"rules\":[", "\"rules\":3,\"other\":["},
  };
  for (const Case& item : cases) {
    BOOST_TEST_CONTEXT(item.what) {
      std::string text = kConfig;
      text.replace(text.find(item.from), item.from.size(), item.to);
      std::string reason;
      BOOST_TEST(!DecodeConfig(text, &reason).has_value());
      BOOST_TEST(!reason.empty());
    }
  }
  std::string reason;
  BOOST_TEST(!DecodeConfig(Nested("[", 500000), &reason).has_value());
  BOOST_TEST(reason == "value is nested too deeply");
}

// One element of a list that cannot be read must not lose the others.
BOOST_AUTO_TEST_CASE(UnreadableItemLosesNothingElse) {
  const std::string good = Item("servers/i-1", "x", 8);
  const std::vector<std::string> bad = {
      R"({"key":"servers/odd","value":7,"revision":9})",
      R"({"key":"servers/odd","value":"%%","revision":9})",
      R"({"key":"servers/odd","value":"eA==","revision":-9})",
      R"({"key":"servers/odd","value":"eA==","revision":1e300})",
      R"({"key":"servers/odd","value":"eA=="})",
      R"({"key":7,"value":"eA==","revision":9})",
      R"({"key":"servers/odd","removed":"yes","revision":9})",
      "[]",
      "null",
  };
  for (const std::string& item : bad) {
    BOOST_TEST_CONTEXT(item) {
      std::string text = R"({"items":[)";
      text += item;
      text += ",";
      text += good;
      text += R"(],"current_rev":10})";
      std::string reason;
      const auto items = DecodeItems(text, 0, &reason);
      BOOST_TEST_REQUIRE(items.has_value(), reason);
      BOOST_TEST_REQUIRE(items->items.size() == 1U);
      BOOST_TEST(items->items[0].key == "servers/i-1");
      BOOST_TEST(items->faults.size() == 1U);
    }
  }
}

std::string ConfigVersion(int version) {
  std::string text = kConfig;
  return text.replace(text.find(":7"), 2, ":" + std::to_string(version));
}

// Fake store that returns one scripted response per request.
class ScriptedStore : public HttpRequestHandler {
 public:
  struct Answer {
    int status = 200;
    std::string body;
    // The header that names the era; empty for none.
    std::string era;
  };

  explicit ScriptedStore(EventLoop* loop) : m_loop(loop) {
    address = {"127.0.0.1", FreeLoopbackPort()};
    std::string reason;
    m_listener = TcpListener::Listen(
        loop, address,
        [this](std::shared_ptr<TcpConnection> connection, TimePoint now) {
          HttpServerSession::Start(m_loop, std::move(connection), this, {},
                                   now);
        },
        &reason);
  }

  void OnRequest(const HttpResponderPtr& session, HttpRequest request,
                 TimePoint now) override {
    calls.push_back(request.target);
    for (auto& [prefix, answers] : script) {
      if (!request.target.starts_with(prefix) || answers.empty()) continue;
      const Answer answer = answers.front();
      answers.pop_front();
      HttpResponse response{answer.status, {}, answer.body};
      const std::string& named = answer.era.empty() ? era : answer.era;
      if (!named.empty()) response.headers.Add("Store-Era", named);
      session->Respond(response, now);
      return;
    }
    const size_t after = request.target.find("after=");
    if (request.target.ends_with("wait_ms=1") && !is_silent) {
      const std::string_view revision =
          std::string_view{request.target}.substr(after + 6);
      HttpResponse response{
          200,
          {},
          absl::StrCat(R"({"events":[],"current_rev":)",
                       std::string(revision.substr(0, revision.find('&'))),
                       "}")};
      if (!era.empty()) response.headers.Add("Store-Era", era);
      session->Respond(response, now);
      return;
    }
    // A watch without changes stays open.
    m_waiting.push_back(session);
  }
  void OnCallerDisconnected(const HttpResponderPtr&, TimePoint) override {}
  void AnswerWaiting(const std::string& body) {
    for (const HttpResponderPtr& waiting : std::exchange(m_waiting, {})) {
      HttpResponse response{200, {}, body};
      if (!era.empty()) response.headers.Add("Store-Era", era);
      waiting->Respond(response, BootClock::now());
    }
  }

  SocketAddress address;
  // Whether no call is answered that the script does not answer.
  bool is_silent = false;
  // Names the era of answers that name none themselves; empty for no header.
  std::string era;
  std::vector<std::string> calls;
  std::vector<std::pair<std::string, std::deque<Answer>>> script;

 private:
  EventLoop* m_loop;
  std::unique_ptr<TcpListener> m_listener;
  std::vector<HttpResponderPtr> m_waiting;
};

struct StoreFixture {
  StoreFixture()
      : store(&pair.loop),
        client(&pair.loop, store.address, pair.front.get(), &pair.log) {}

  double ActiveConfigVersion() {
    return pair.front->metrics()->gauges["config_version"];
  }
  bool HasWatched(uint64_t after) {
    const std::string wanted = "after=" + std::to_string(after) + "&";
    return !store.calls.empty() &&
           store.calls.back().find(wanted) != std::string::npos;
  }

  RelayPair pair;
  ScriptedStore store;
  StoreClient client;
};

// The configuration changes between the two initial reads. The watch must start
// at the older revision, or the change is never seen.
BOOST_FIXTURE_TEST_CASE(WatchesFromServerListRevision, StoreFixture) {
  store.script = {
      {"/-/kv-range",
       {{200, R"({"items":[)" +
                  Item("servers/i-1", ServerValue("ready", ""), 8) +
                  R"(],"more_pages":false,"current_rev":10})"}}},
      {"/-/kv-key", {{200, Item("op/config", ConfigVersion(7), 12)}}},
  };
  client.Start(false, BootClock::now());
  BOOST_TEST(RunUntil(&pair.loop, [&] { return HasWatched(10); }));
  BOOST_TEST(RunUntil(&pair.loop, [&] { return ActiveConfigVersion() == 7; }));
}

BOOST_FIXTURE_TEST_CASE(AppliesOnlyNewerConfigVersions, StoreFixture) {
  const std::string list =
      R"({"items":[],"more_pages":false,"current_rev":10})";
  store.script = {
      {"/-/kv-range", {{200, list}, {200, list}}},
      {"/-/kv-key",
       {{200, Item("op/config", ConfigVersion(7), 5)},
        {200, Item("op/config", ConfigVersion(8), 11)}}},
      {"/-/kv-watch",
       {{200, R"({"events":[)" + Item("op/config", ConfigVersion(9), 11) + "," +
                  Item("op/config", ConfigVersion(8), 12) +
                  R"(],"current_rev":12})"},
        {503, ""},
        {410, ""}}},
  };
  client.Start(false, BootClock::now());
  BOOST_TEST(RunUntil(&pair.loop, [&] { return ActiveConfigVersion() == 9; }));
  BOOST_TEST_CONTEXT("after 503 and 410, everything is read again") {
    BOOST_TEST(RunUntil(&pair.loop, [&] {
      return store.script[1].second.empty() && HasWatched(10);
    }));
    RunFor(&pair.loop, milliseconds(300));
    BOOST_TEST(ActiveConfigVersion() == 9);
  }
}

// A peer's server list can be newer than its configuration. A watch from the
// revision of that list would miss the change between them.
BOOST_FIXTURE_TEST_CASE(RereadsStoreAfterPeerSnapshot, StoreFixture) {
  const std::string list =
      R"({"items":[],"more_pages":false,"current_rev":10})";
  const std::string later =
      R"({"items":[],"more_pages":false,"current_rev":60})";
  store.script = {
      {"/-/kv-range", {{200, list}, {200, later}}},
      {"/-/kv-key",
       {{200, Item("op/config", ConfigVersion(7), 5)},
        {200, Item("op/config", ConfigVersion(9), 45)}}},
      {"/-/kv-watch", {{503, ""}}},
  };
  client.Start(false, BootClock::now());
  BOOST_TEST_REQUIRE(
      RunUntil(&pair.loop, [&] { return store.script[2].second.empty(); }));
  relay::Snapshot snapshot;
  snapshot.set_directory_revision(50);
  client.ApplySnapshot(snapshot, BootClock::now());
  BOOST_TEST(RunUntil(&pair.loop, [&] { return ActiveConfigVersion() == 9; }));
}

// An open watch no longer receives changes. A peer reports a newer version in
// an answer, and the store must be read again long before the watch times out.
BOOST_FIXTURE_TEST_CASE(DetectsStalledWatch, StoreFixture) {
  struct Peer : FleetStateStore {
    bool IsPlatformUnreachable() const override { return false; }
    relay::View View() const override { return view; }
    relay::Snapshot MakeSnapshot() const override {
      relay::Snapshot snapshot;
      snapshot.set_directory_revision(view.directory_revision());
      return snapshot;
    }
    void ApplySnapshot(const relay::Snapshot&, TimePoint) override {}
    relay::View view;
  };
  const std::string list =
      R"({"items":[],"more_pages":false,"current_rev":10})";
  store.script = {
      {"/-/kv-range", {{200, list}, {200, list}}},
      {"/-/kv-key",
       {{404, ""}, {200, Item("op/config", ConfigVersion(9), 12)}}},
  };
  Peer peer;
  pair.back->SetFleetStateStore(&peer);
  pair.front->SetFleetStateStore(&client);
  client.Start(false, BootClock::now());
  BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return HasWatched(10); }));
  // The list read from the store contains no server.
  pair.AddServer("server-2", 11);
  peer.view.set_directory_revision(12);
  peer.view.set_config_version(9);
  const auto call = pair.Send("/ok", "r1");
  BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return call->is_over; }));
  const TimePoint heard = BootClock::now();
  BOOST_TEST(RunUntil(&pair.loop, [&] { return ActiveConfigVersion() == 9; }));
  // A new version must be applied within 2.5 s.
  BOOST_TEST((BootClock::now() - heard < milliseconds(2500)));
}

constexpr const char* kEmptyList =
    R"({"items":[],"more_pages":false,"current_rev":10})";

// The store accepts calls and answers nothing. A pending watch must not count
// as a confirmation, and the node must notice long before the watch times out.
BOOST_FIXTURE_TEST_CASE(SilentStoreConfirmsNothing, StoreFixture) {
  store.script = {{"/-/kv-range", {{200, kEmptyList}}},
                  {"/-/kv-key", {{404, ""}}}};
  client.Start(false, BootClock::now());
  // The first watch is answered at once, the second one stays open.
  BOOST_TEST_REQUIRE(
      RunUntil(&pair.loop, [&] { return store.calls.size() == 4; }));
  const TimePoint confirmed = client.ConfirmedAt();
  BOOST_TEST((confirmed != TimePoint{}));
  store.is_silent = true;
  client.Confirm(BootClock::now());
  BOOST_TEST(!client.IsPlatformUnreachable());
  BOOST_TEST(
      RunUntil(&pair.loop, [&] { return client.IsPlatformUnreachable(); }));
  BOOST_TEST((client.ConfirmedAt() == confirmed));
  BOOST_TEST_CONTEXT("the store answers again") {
    store.is_silent = false;
    BOOST_TEST(
        RunUntil(&pair.loop, [&] { return !client.IsPlatformUnreachable(); }));
    BOOST_TEST((client.ConfirmedAt() > confirmed));
  }
}

// A report of another node used to restart the time that a node had been
// without the store, so that the log contradicted its own times.
BOOST_FIXTURE_TEST_CASE(OutageIsTimedFromItsFirstFailure, StoreFixture) {
  LogPipe log;
  StoreClient logged(&pair.loop, store.address, pair.front.get(), &log.log);
  store.script = {{"/-/kv-range", {{200, kEmptyList}}},
                  {"/-/kv-key", {{404, ""}}}};
  logged.Start(false, BootClock::now());
  BOOST_TEST_REQUIRE(
      RunUntil(&pair.loop, [&] { return store.calls.size() == 4; }));
  store.is_silent = true;
  logged.Confirm(BootClock::now());
  BOOST_TEST_REQUIRE(
      RunUntil(&pair.loop, [&] { return logged.IsPlatformUnreachable(); }));
  const TimePoint lost = BootClock::now();
  store.is_silent = false;
  TimePoint before_back;
  BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] {
    if (!logged.IsPlatformUnreachable()) return true;
    before_back = BootClock::now();
    logged.OnConfirmed(before_back, before_back);
    return false;
  }));
  log.log.Flush();
  const std::string text = log.Read();
  BOOST_TEST(text.find("event=platform-lost vm=test call=confirm "
                       "reason=timeout sent_ms_ago=") != std::string::npos);
  const std::string_view key = " away_ms=";
  const size_t at = text.find(key);
  BOOST_TEST_REQUIRE(at != std::string::npos);
  BOOST_TEST(std::strtod(text.c_str() + at + key.size(), nullptr) >=
             ToMilliseconds(before_back - lost));
}

// What a call confirms is as old as the call, however late its answer is.
BOOST_FIXTURE_TEST_CASE(ConfirmationIsAsOldAsItsCall, StoreFixture) {
  store.script = {{"/-/kv-range", {{200, kEmptyList}}},
                  {"/-/kv-key", {{404, ""}}}};
  client.Start(false, BootClock::now());
  BOOST_TEST_REQUIRE(
      RunUntil(&pair.loop, [&] { return store.calls.size() == 4; }));
  const TimePoint sent = BootClock::now();
  client.Confirm(sent);
  BOOST_TEST(
      RunUntil(&pair.loop, [&] { return client.ConfirmedAt() >= sent; }));
  BOOST_TEST((client.ConfirmedAt() == sent));
}

// The watch is stalled, and another connection works. A confirmation brings
// what the watch does not report.
BOOST_FIXTURE_TEST_CASE(ConfirmationBringsMissedChanges, StoreFixture) {
  store.script = {{"/-/kv-range", {{200, kEmptyList}, {200, kEmptyList}}},
                  {"/-/kv-key", {{404, ""}, {404, ""}}},
                  {"/-/kv-watch", {}}};
  client.Start(false, BootClock::now());
  BOOST_TEST_REQUIRE(
      RunUntil(&pair.loop, [&] { return store.calls.size() == 4; }));
  store.script[2].second = {{200, R"({"events":[)" +
                                      Item("op/config", ConfigVersion(9), 12) +
                                      R"(],"current_rev":12})"}};
  client.Confirm(BootClock::now());
  BOOST_TEST(RunUntil(&pair.loop, [&] { return ActiveConfigVersion() == 9; }));
  BOOST_TEST(client.View().directory_revision() == 12U);
  BOOST_TEST_CONTEXT("the history is gone") {
    store.script[2].second = {{410, ""}};
    client.Confirm(BootClock::now());
    BOOST_TEST(
        RunUntil(&pair.loop, [&] { return store.script[1].second.empty(); }));
  }
}

// The store refuses new calls but still answers a watch that is pending.
BOOST_FIXTURE_TEST_CASE(PendingWatchOutlivesRefusedConfirmations,
                        StoreFixture) {
  store.script = {{"/-/kv-range", {{200, kEmptyList}}},
                  {"/-/kv-key", {{404, ""}}},
                  {"/-/kv-watch", {}}};
  client.Start(false, BootClock::now());
  BOOST_TEST_REQUIRE(
      RunUntil(&pair.loop, [&] { return store.calls.size() == 4; }));
  store.script[2].second = {{503, ""}, {503, ""}};
  client.Confirm(BootClock::now());
  BOOST_TEST_REQUIRE(
      RunUntil(&pair.loop, [&] { return store.script[2].second.empty(); }));
  BOOST_TEST(client.IsPlatformUnreachable());
  store.AnswerWaiting(R"({"events":[)" +
                      Item("op/config", ConfigVersion(9), 12) +
                      R"(],"current_rev":12})");
  BOOST_TEST(RunUntil(&pair.loop, [&] { return ActiveConfigVersion() == 9; }));
  BOOST_TEST(!client.IsPlatformUnreachable());
}

// A version that this node cannot read used to confirm the earlier one, on the
// word of which requests were denied.
BOOST_FIXTURE_TEST_CASE(UnreadableVersionConfirmsNothing, StoreFixture) {
  store.script = {
      {"/-/kv-range", {{200, kEmptyList}}},
      {"/-/kv-key", {{200, Item("op/config", ConfigVersion(7), 5)}}},
      {"/-/kv-watch", {}}};
  pair.front->SetFleetStateStore(&client);
  client.Start(false, BootClock::now());
  const auto status_without_route = [this](const std::string& id) {
    RawClient caller(&pair.loop, pair.front_settings.caller_listener);
    caller.Write("GET /ok HTTP/1.1\r\nTest-Authority: other\r\nTest-Id: " + id +
                 "\r\nTest-Time-Left: 5000\r\n\r\n");
    BOOST_TEST(RunUntil(&pair.loop, [&] {
      return caller.received.find("\r\n\r\n") != std::string::npos;
    }));
    return caller.received.substr(0, caller.received.find("\r\n"));
  };
  BOOST_TEST_REQUIRE(
      RunUntil(&pair.loop, [&] { return store.calls.size() >= 4; }));
  BOOST_TEST(status_without_route("r1").find(" 404 ") != std::string::npos);
  store.script[2].second = {{200, R"({"events":[)" +
                                      Item("op/config", "not JSON", 12) +
                                      R"(],"current_rev":12})"}};
  client.Confirm(BootClock::now());
  BOOST_TEST_REQUIRE(RunUntil(
      &pair.loop, [&] { return client.View().directory_revision() == 12U; }));
  RunFor(&pair.loop, pair.front_settings.config_bound);
  BOOST_TEST(status_without_route("r2").find(" 503 ") != std::string::npos);
}

std::string ListAt(uint64_t revision) {
  return absl::StrCat(R"({"items":[],"more_pages":false,"current_rev":)",
                      revision, "}");
}

// An answer that cannot be ordered must change nothing: one of an earlier era,
// one without an era from a store that has eras, or with a value that is no
// number. The next answer that can be ordered counts.
BOOST_AUTO_TEST_CASE(AnswersThatCannotBeOrderedChangeNothing) {
  struct Case {
    const char* what;
    std::string era;
    std::string reason;
  };
  const std::vector<Case> cases = {
      {"earlier era", "4", "era-behind"},
      {"no number", "five", "era-unreadable"},
      {"negative", "-1", "era-unreadable"},
      {"a sign", "+6", "era-unreadable"},
      {"a fraction", "5.5", "era-unreadable"},
      {"too large", "99999999999999999999999", "era-unreadable"},
      {"blank", " ", "era-unreadable"},
  };
  for (const Case& item : cases) {
    BOOST_TEST_CONTEXT(item.what) {
      StoreFixture fixture;
      LogPipe log;
      StoreClient client(&fixture.pair.loop, fixture.store.address,
                         fixture.pair.front.get(), &log.log);
      fixture.store.era = "5";
      fixture.store.script = {
          {"/-/kv-range", {{200, ListAt(10)}}},
          {"/-/kv-key", {{200, Item("op/config", ConfigVersion(7), 5)}}},
          {"/-/kv-watch",
           {{200,
             R"({"events":[)" + Item("op/config", ConfigVersion(8), 11) +
                 R"(],"current_rev":11})",
             item.era},
            {200, R"({"events":[)" + Item("op/config", ConfigVersion(9), 12) +
                      R"(],"current_rev":12})"}}}};
      client.Start(false, BootClock::now());
      BOOST_TEST_REQUIRE(RunUntil(&fixture.pair.loop, [&] {
        return fixture.store.script[2].second.size() == 1;
      }));
      BOOST_TEST(RunUntil(&fixture.pair.loop, [&] {
        return fixture.pair.front->config_version() != 7;
      }));
      BOOST_TEST(fixture.pair.front->config_version() == 9U);
      log.log.Flush();
      BOOST_TEST(log.Read().find("reason=" + item.reason + " ") !=
                 std::string::npos);
    }
  }
}

// A store that has named an era leaves it out.
BOOST_FIXTURE_TEST_CASE(AnswerWithoutAnEraChangesNothing, StoreFixture) {
  store.era = "5";
  store.script = {
      {"/-/kv-range", {{200, ListAt(10)}}},
      {"/-/kv-key", {{200, Item("op/config", ConfigVersion(7), 5)}}}};
  client.Start(false, BootClock::now());
  BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return HasWatched(10); }));
  const TimePoint confirmed = client.ConfirmedAt();
  store.era = "";
  client.Confirm(BootClock::now());
  BOOST_TEST(
      RunUntil(&pair.loop, [&] { return client.IsPlatformUnreachable(); }));
  BOOST_TEST((client.ConfirmedAt() == confirmed));
  BOOST_TEST((DirectoryOf(client.View()) == StateRevision{5, 10}));
  BOOST_TEST_CONTEXT("and names it again") {
    store.era = "5";
    BOOST_TEST(
        RunUntil(&pair.loop, [&] { return !client.IsPlatformUnreachable(); }));
  }
}

// The store comes back from a copy between the answers of one read. What they
// say together never was a state of the store, so everything is read again.
BOOST_AUTO_TEST_CASE(ReadsOfTwoErasAreNotMixed) {
  struct Case {
    const char* what;
    std::string second_page_era;
    std::string config_era;
  };
  const std::vector<Case> cases = {{"between two pages", "2", "2"},
                                   {"before the configuration", "1", "2"}};
  for (const Case& item : cases) {
    BOOST_TEST_CONTEXT(item.what) {
      StoreFixture fixture;
      const std::string server =
          Item("servers/i-1", ServerValue("ready", ""), 8);
      fixture.store.script = {
          {"/-/kv-range?prefix=servers/&after=servers/i-1",
           {{200, ListAt(11), item.second_page_era}}},
          {"/-/kv-range",
           {{200,
             R"({"items":[)" + server +
                 R"(],"more_pages":true,"current_rev":10})",
             "1"},
            {200, ListAt(6), "2"}}},
          {"/-/kv-key",
           {{200, Item("op/config", ConfigVersion(7), 5), item.config_era},
            {200, Item("op/config", ConfigVersion(7), 5), "2"}}},
      };
      fixture.store.era = "2";
      fixture.client.Start(false, BootClock::now());
      BOOST_TEST_REQUIRE(
          RunUntil(&fixture.pair.loop, [&] { return fixture.HasWatched(6); }));
      BOOST_TEST((DirectoryOf(fixture.client.View()) == StateRevision{2, 6}));
      BOOST_TEST(fixture.client.MakeSnapshot().servers_size() == 0);
    }
  }
}

// A watch that was sent in an earlier era is answered in the present one. Its
// events begin at a revision of the earlier era, so some may be missing.
BOOST_FIXTURE_TEST_CASE(WatchOfAnEarlierEraIsNoStep, StoreFixture) {
  store.era = "1";
  store.script = {{"/-/kv-range", {{200, ListAt(10)}, {200, ListAt(14), "2"}}},
                  {"/-/kv-key",
                   {{200, Item("op/config", ConfigVersion(7), 5)},
                    {200, Item("op/config", ConfigVersion(8), 9), "2"}}}};
  client.Start(false, BootClock::now());
  BOOST_TEST_REQUIRE(
      RunUntil(&pair.loop, [&] { return store.calls.size() == 4; }));
  store.era = "2";
  // The configuration at revision 9 is not among the events after 10.
  store.AnswerWaiting(R"({"events":[)" +
                      Item("servers/i-1", ServerValue("ready", ""), 12) +
                      R"(],"current_rev":14})");
  BOOST_TEST(RunUntil(&pair.loop, [&] { return ActiveConfigVersion() == 8; }));
  BOOST_TEST((DirectoryOf(client.View()) == StateRevision{2, 14}));
}

// After a restart the first list may come from a replica that is seconds old.
// The node must learn of later changes before any reader has reported to it.
BOOST_AUTO_TEST_CASE(RestartedNodeCatchesUpByItself) {
  for (const bool is_fleet_start : {false, true}) {
    BOOST_TEST_CONTEXT("start of the fleet: " << is_fleet_start) {
      StoreFixture fixture;
      fixture.store.script = {
          {"/-/kv-range",
           {{200, R"({"items":[],"more_pages":false,"current_rev":10})"}}},
          {"/-/kv-key", {{404, ""}}},
      };
      fixture.client.Start(is_fleet_start, BootClock::now());
      fixture.client.SetReadMode(ReadMode::kFromPeers, BootClock::now());
      BOOST_TEST_REQUIRE(RunUntil(
          &fixture.pair.loop, [&] { return fixture.store.calls.size() >= 2; }));
      RunFor(&fixture.pair.loop, milliseconds(200));
      BOOST_TEST(fixture.HasWatched(10) == !is_fleet_start);
    }
  }
}

BOOST_FIXTURE_TEST_CASE(ReadsAllPages, StoreFixture) {
  store.script = {
      {"/-/kv-range?prefix=servers/&after=servers/i-1",
       {{200, R"({"items":[],"more_pages":false,"current_rev":11})"}}},
      {"/-/kv-range",
       {{200, R"({"items":[)" + Item("servers/i-1", "not JSON", 8) +
                  R"(],"more_pages":true,"current_rev":10})"}}},
      {"/-/kv-key", {{404, ""}}},
  };
  client.Start(false, BootClock::now());
  BOOST_TEST(RunUntil(&pair.loop, [&] { return HasWatched(10); }));
}

// An unreadable entry names no server, also if it replaces a readable one, and
// does not travel to other nodes. It is logged once.
BOOST_FIXTURE_TEST_CASE(UnreadableEntriesNameNoServer, StoreFixture) {
  const std::string odd = Nested("[", 8000);
  store.script = {
      {"/-/kv-range",
       {{200, R"({"items":[)" +
                  Item("servers/i-1", ServerValue("ready", ""), 8) + "," +
                  Item("servers/odd", odd, 9) +
                  R"(],"more_pages":false,"current_rev":10})"}}},
      {"/-/kv-key", {{404, ""}}},
      {"/-/kv-watch",
       {{200, R"({"events":[)" + Item("servers/odd", odd, 11) + "," +
                  Item("servers/i-1", WithSlots("-5"), 12) +
                  R"(],"current_rev":12})"}}},
  };
  client.Start(false, BootClock::now());
  BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return HasWatched(12); }));
  BOOST_TEST(client.MakeSnapshot().servers_size() == 0);
  BOOST_TEST(pair.front->metrics()->platform_values_ignored == 3U);
}

// Keys of another writer may hold any bytes. They are part of the next request,
// which was refused as malformed: the list was never read to its end.
BOOST_FIXTURE_TEST_CASE(ReadsPagesBehindOddKeys, StoreFixture) {
  store.script = {
      {"/-/kv-range?prefix=servers/&after=servers/%20%26x%0D%0A",
       {{200, R"({"items":[],"more_pages":false,"current_rev":11})"}}},
      {"/-/kv-range",
       {{200, R"({"items":[{"key":"servers/ &x\r\n","value":3}],)"
              R"("more_pages":true,"current_rev":10})"}}},
      {"/-/kv-key", {{404, ""}}},
  };
  client.Start(false, BootClock::now());
  BOOST_TEST(RunUntil(&pair.loop, [&] { return HasWatched(10); }));
}

// The answer to a watch exceeds the limit. Repeating it gives the same answer,
// so everything must be read again.
BOOST_FIXTURE_TEST_CASE(OversizedWatchIsReadAgain, StoreFixture) {
  const std::string list =
      R"({"items":[],"more_pages":false,"current_rev":10})";
  const std::string later =
      R"({"items":[],"more_pages":false,"current_rev":20})";
  store.script = {
      {"/-/kv-range", {{200, list}, {200, later}}},
      {"/-/kv-key", {{404, ""}, {404, ""}}},
      {"/-/kv-watch", {{200, std::string(size_t{9} << 20, ' ')}}},
  };
  client.Start(false, BootClock::now());
  BOOST_TEST(RunUntil(&pair.loop, [&] { return HasWatched(20); }));
}

// A peer has read a just-restored store in which the records of running servers
// had expired. These servers must stay usable until they can renew them.
BOOST_FIXTURE_TEST_CASE(SnapshotOfRestoredStoreKeepsServers, StoreFixture) {
  const TimePoint start = BootClock::now();
  relay::Snapshot full;
  full.set_directory_revision(50);
  relay::Item* server = full.add_servers();
  server->set_key("servers/server-1");
  server->set_value(
      WithAddress("127.0.0.2:" + std::to_string(pair.server_port)));
  server->set_revision(40);
  client.ApplySnapshot(full, start);
  BOOST_TEST(client.View().directory_revision() == 50U);
  BOOST_TEST(client.MakeSnapshot().servers_size() == 1);
  relay::Snapshot lapsed;
  lapsed.set_directory_revision(60);
  client.ApplySnapshot(lapsed, start);
  const auto call = pair.Send("/ok", "r1");
  BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return call->is_over; }));
  BOOST_TEST(call->result.response.status == 200);
}

}  // namespace
}  // namespace vanillatiller::platform
