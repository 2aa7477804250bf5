#define BOOST_TEST_MODULE vtstub
#include "vtstub/vtstub.h"

#include <boost/test/unit_test.hpp>
#include <thread>

#include "http/http.h"
#include "httplib.h"
#include "nlohmann/json.hpp"

namespace vanillatiller {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// An HTTP server on a free loopback port.
class TestServer {
 public:
  httplib::Server& server() { return m_server; }
  int port() const { return m_port; }
  std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

  TestServer() {
    m_server.set_keep_alive_timeout(1);
    m_port = m_server.bind_to_any_port("127.0.0.1");
  }
  ~TestServer() { Stop(); }

  void Start() {
    m_thread = std::thread([this] { m_server.listen_after_bind(); });
    while (!m_server.is_running()) {
      std::this_thread::sleep_for(milliseconds(1));
    }
  }
  void Stop() {
    m_server.stop();
    if (m_thread.joinable()) m_thread.join();
  }

 private:
  HttpServer m_server{64};
  int m_port = 0;
  std::thread m_thread;
};

// A backend server stub with one slot, and its HTTP listener.
class Backend {
 public:
  explicit Backend(Duration service_time, int node_port = 1)
      : m_backend({.name = "test",
                   .node_port = node_port,
                   .calls = {{"get_deep", {"b.get"}}},
                   .slots = 1,
                   .service_time = service_time}) {
    m_backend.RegisterHandlers(&m_http.server());
    m_http.Start();
  }
  ~Backend() { m_http.Stop(); }

  std::string address() const { return m_http.address(); }

  httplib::Result Post(const std::string& path, const std::string& id = "r1",
                       int timeout_ms = 5000) const {
    httplib::Client client("http://" + address());
    return client.Post(path,
                       {{"X-Vt-Call", "token"},
                        {"X-Vt-Timeout-Ms", std::to_string(timeout_ms)}},
                       json({{"id", id}, {"use", 1}, {"path", ""}}).dump(),
                       "application/json");
  }
  httplib::Result Get(const std::string& path) const {
    return httplib::Client("http://" + address()).Get(path);
  }
  json Stats() const { return json::parse(Get("/stats")->body); }
  void WaitFor(const char* counter, int value) const {
    for (int i = 0; i < 2000 && Stats()[counter] != value; ++i) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    BOOST_TEST_REQUIRE(Stats()[counter] == value);
  }

 private:
  TestServer m_http;
  BackendServer m_backend;
};

// Guards against executions that are not recorded or are recorded with the
// wrong call path, and against dropping X-Vt-Call on downstream calls.
BOOST_AUTO_TEST_CASE(CallTreeIsRecorded) {
  const Backend callee(milliseconds(1));
  TestServer node;
  std::string token;
  node.server().Post("/b/get", [&](const httplib::Request& request,
                                   httplib::Response& response) {
    token = request.get_header_value("X-Vt-Call");
    httplib::Client client("http://" + callee.address());
    response.set_content(
        client.Post("/b/get", request.body, "application/json")->body,
        "application/json");
    response.set_header("X-Vt-Outcome", "complete");
  });
  node.Start();
  const Backend caller(milliseconds(1), node.port());
  const auto answer = caller.Post("/a/get_deep", "r7");
  BOOST_TEST_REQUIRE(answer->status == 200);
  BOOST_TEST(json::parse(answer->body)["id"] == "r7");
  BOOST_TEST(token == "token");
  BOOST_TEST(caller.Get("/executions")->body.find("r7 1 a.get_deep ") == 0U);
  BOOST_TEST(callee.Get("/executions")->body.find("r7 1 a.get_deep/b.get ") ==
             0U);
  BOOST_TEST(json::parse(caller.Get("/control/executions")->body).size() == 1U);
  caller.Post("/control/reset");
  BOOST_TEST(caller.Get("/executions")->body == "");
}

// Guards against reporting success after a downstream call was refused.
BOOST_AUTO_TEST_CASE(DownstreamRefusalFailsTheCall) {
  TestServer node;
  node.server().Post("/b/get", [](const auto&, httplib::Response& response) {
    response.set_header("X-Vt-Outcome", "not-run");
  });
  node.Start();
  const Backend caller(milliseconds(1), node.port());
  const auto answer = caller.Post("/a/get_deep");
  BOOST_TEST(answer->status == 502);
  BOOST_TEST(!answer->has_header("X-Vt-Shed"));
}

// Guards against X-Vt-Shed on a call that ran, and against its absence on a
// call that did not, for each reason to shed: draining, an expired deadline and
// a full queue.
BOOST_AUTO_TEST_CASE(ShedCallsDoNotRun) {
  const Backend backend(milliseconds(0));
  backend.Post("/control/drain?on=1");
  BOOST_TEST(backend.Post("/b/get")->get_header_value("X-Vt-Shed") == "1");
  BOOST_TEST(backend.Get("/health")->status == 503);
  backend.Post("/control/drain?on=0");
  BOOST_TEST(backend.Stats()["executions"] == 0);
  BOOST_TEST(backend.Post("/b/get")->status == 200);

  // The first call holds the only slot until the hang ends.
  backend.Post("/control/hang?on=1");
  std::thread running([&] { backend.Post("/b/get", "running"); });
  backend.WaitFor("executions", 2);
  const auto expired = backend.Post("/b/get", "expired", 30);
  BOOST_TEST(expired->get_header_value("X-Vt-Shed") == "1");
  backend.Post("/control/shed?queue=0");
  const auto full = backend.Post("/b/get", "full");
  BOOST_TEST(full->get_header_value("X-Vt-Shed") == "1");
  backend.Post("/control/shed");
  backend.Post("/control/hang?on=0");
  running.join();
  BOOST_TEST(backend.Stats()["executions"] == 2);
  BOOST_TEST(backend.Stats()["shed"] == 3);
}

// Guards against servers that continue a call after its client disconnected or
// its deadline passed.
BOOST_AUTO_TEST_CASE(CancellationAndDeadline) {
  const Backend backend(std::chrono::seconds(30));
  BOOST_TEST(backend.Post("/b/get", "r1", 50)->status == 504);
  BOOST_TEST(backend.Stats()["expired"] == 1);
  {
    httplib::Client client("http://" + backend.address());
    client.set_read_timeout(milliseconds(100));
    const auto answer = client.Post("/b/get", R"({"id":"r2"})", "text/plain");
    BOOST_TEST(!answer);
  }
  backend.WaitFor("cancelled", 1);
  backend.WaitFor("in_use", 0);
}

// Guards against overrides of /health and /load that have no effect or cannot
// be removed.
BOOST_AUTO_TEST_CASE(FalseHealthAndLoad) {
  const Backend backend(milliseconds(0));
  BOOST_TEST(backend.Get("/health")->status == 200);
  backend.Post("/control/health?value=0");
  BOOST_TEST(backend.Get("/health")->status == 503);
  backend.Post("/control/health");
  BOOST_TEST(backend.Get("/health")->status == 200);
  backend.Post("/control/load?in_use=7");
  BOOST_TEST(json::parse(backend.Get("/load")->body)["in_use"] == 7);
  backend.Post("/control/load");
  BOOST_TEST(json::parse(backend.Get("/load")->body)["in_use"] == 0);
}

// Guards against service times that are not reproducible from the seed or have
// the wrong mean, and against slow and cold-start faults that have no effect.
BOOST_AUTO_TEST_CASE(ServiceTimes) {
  const TimePoint now{std::chrono::hours(1)};
  for (const char* name : {"constant", "exponential", "lognormal"}) {
    ServiceTimeSampler first(*ParseServiceTimeDistribution(name),
                             milliseconds(20), 3);
    ServiceTimeSampler second(*ParseServiceTimeDistribution(name),
                              milliseconds(20), 3);
    double sum = 0;
    for (int i = 0; i < 20'000; ++i) {
      const Duration sample = first.Sample(now);
      BOOST_REQUIRE((sample == second.Sample(now)));
      sum += ToMilliseconds(sample);
    }
    BOOST_TEST(std::abs(sum / 20'000 - 20) < 1.0, name);
  }
  ServiceTimeSampler time(ServiceTimeDistribution::kConstant, milliseconds(10),
                          1);
  time.SetSlowFactor(3);
  BOOST_TEST((time.Sample(now) == milliseconds(30)));
  time.SetSlowFactor(1);
  time.BeginColdStart(5, milliseconds(100), now);
  BOOST_TEST((time.Sample(now) == milliseconds(50)));
  BOOST_TEST((time.Sample(now + milliseconds(50)) == milliseconds(30)));
  BOOST_TEST((time.Sample(now + milliseconds(100)) == milliseconds(10)));
}

// Guards against a read limit that does not count waiting watches.
BOOST_AUTO_TEST_CASE(ReadLimit) {
  const TimePoint now{std::chrono::hours(1)};
  ReadLimiter limiter(3);
  limiter.StartWatch();
  BOOST_TEST(limiter.Admit(now));
  BOOST_TEST(limiter.Admit(now));
  BOOST_TEST(!limiter.Admit(now + milliseconds(999)));
  BOOST_TEST(limiter.Admit(now + milliseconds(1000)));
  limiter.EndWatch();
  BOOST_TEST(limiter.Admit(now + milliseconds(1000)));
}

// Guards against a platform stub whose HTTP interface differs from the one that
// the design document specifies.
BOOST_AUTO_TEST_CASE(PlatformContract) {
  PlatformServer platform(
      json::parse(R"([{"vm":"v1","state":"live"},{"vm":"v2"}])"));
  BOOST_TEST(platform.SetConfig("version = 1\n"));
  BOOST_TEST(!platform.SetConfig(std::string(kMaxConfigBytes + 1, '#')));
  TestServer http;
  platform.RegisterHandlers(&http.server());
  http.Start();
  httplib::Client client("http://" + http.address());
  const auto status = [&](const char* path) {
    return client.Get(path)->status;
  };
  const auto control = [&](const std::string& path, const char* body = "") {
    return client.Post("/control/" + path, body, "text/plain")->status;
  };
  const auto first = client.Get("/v1/config?after=0");
  BOOST_TEST(first->status == 200);
  BOOST_TEST(first->get_header_value("X-Config-Version") == "1");
  BOOST_TEST(first->body == "version = 1\n");
  BOOST_TEST(status("/v1/config?after=1&wait_ms=20") == 204);

  // A waiting watch returns as soon as a newer version is published.
  std::thread watch([&] {
    httplib::Client watcher("http://" + http.address());
    watcher.set_read_timeout(std::chrono::seconds(20));
    const auto answer = watcher.Get("/v1/config?after=1&wait_ms=15000");
    BOOST_TEST(answer->get_header_value("X-Config-Version") == "2");
  });
  BOOST_TEST(control("config", "version = 2\n") == 200);
  watch.join();

  BOOST_TEST(control("stale?on=1") == 200);
  BOOST_TEST(control("config", "version = 3\n") == 200);
  BOOST_TEST(status("/v1/config?after=2") == 204);
  BOOST_TEST(control("stale?on=0") == 200);
  BOOST_TEST(status("/v1/config?after=2") == 200);
  BOOST_TEST(control("down?on=1") == 200);
  BOOST_TEST(status("/v1/config?after=0") == 503);
  BOOST_TEST(control("down?on=0") == 200);
  BOOST_TEST(control("rate?limit=0") == 200);
  BOOST_TEST(status("/v1/config?after=0") == 429);

  BOOST_TEST(control("vm?name=v2&state=gone") == 200);
  BOOST_TEST(json::parse(client.Get("/v1/vms")->body).size() == 1U);
  BOOST_TEST(control("vm_lag?ms=600000") == 200);
  BOOST_TEST(json::parse(client.Get("/v1/vms")->body).size() == 2U);
  BOOST_TEST(control("vms_down?on=1") == 200);
  BOOST_TEST(status("/v1/vms") == 503);
}

}  // namespace
}  // namespace vanillatiller
