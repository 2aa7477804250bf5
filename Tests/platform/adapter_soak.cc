// Randomized soak of vtadapter: real processes on loopback, with the platform's
// store, the servers, the callers and the network between nodes played here.
//
//   adapter_soak [SEED [SECONDS [NODES]]]
//
// Prints what broke a promise, with its time, and exits with 1; the same seed
// draws the same faults.

#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/escaping.h"
#include "absl/strings/str_format.h"
#include "relay_harness.h"

namespace vanillatiller {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kServices[] = {"alpha", "beta"};
// Time for news to be in force at every node after the last fault.
constexpr Duration kSettleTime = seconds(8);
constexpr Duration kCallerWait = milliseconds(3000);
// Bound on new work for a server after the store said that it drains.
constexpr Duration kDrainBound = milliseconds(2500);

class Soak {
 public:
  Soak(uint64_t seed, Duration length, size_t nodes)
      : m_random(seed), m_length(length), m_nodes(nodes) {
    char directory[] = "/tmp/adapter-soak-XXXXXX";
    m_directory = mkdtemp(directory);
    m_peer_port = FreeLoopbackPort();
    m_store_port = FreeLoopbackPort();
    ListenStore();
    for (size_t i = 0; i < nodes; ++i) AddNode(i);
    PublishConfig(BootClock::now());
  }

  ~Soak() {
    for (Node& node : m_nodes) {
      if (node.pid > 0) kill(node.pid, SIGKILL);
      if (node.pid > 0) waitpid(node.pid, nullptr, 0);
    }
    [[maybe_unused]] const int removed =
        std::system(("rm -r " + m_directory).c_str());
  }

  // The number of broken promises.
  size_t Run() {
    m_start = BootClock::now();
    for (size_t i = 0; i < m_nodes.size(); ++i) StartNode(i);
    m_faults_end = m_start + seconds(3) + m_length;
    m_loop.Schedule(m_start + seconds(3), [this](TimePoint) { NextFault(); });
    m_loop.Schedule(m_start + seconds(2), [this](TimePoint) { NextCall(); });
    m_loop.Schedule(m_faults_end + kSettleTime,
                    [this](TimePoint now) { CheckSettled(now); });
    Reap();
    m_loop.Run();
    CheckRefusals();
    std::printf("%zu calls, %zu answered, %zu refused, %zu lost; %zu broken\n",
                m_calls, m_answered, m_refused.size(), m_lost, m_broken);
    return m_broken;
  }

 private:
  struct Node {
    size_t index = 0;
    std::string ip;
    std::string service;
    std::string server_id;
    uint16_t caller_port = 0;
    uint16_t health_port = 0;
    uint16_t server_port = 0;
    pid_t pid = -1;
    bool is_draining = false;
    TimePoint drain_acknowledged;
    std::unique_ptr<FaultProxy> network;
    std::unique_ptr<HttpRequestHandler> server;
    std::unique_ptr<TcpListener> listener;
  };

  // A server: works for some milliseconds, then answers.
  class Server : public HttpRequestHandler {
   public:
    Server(Soak* soak, size_t node) : m_soak(soak), m_node(node) {}
    void OnRequest(const std::shared_ptr<HttpServerSession>& session,
                   HttpRequest request, TimePoint now) override {
      m_soak->OnServerRequest(m_node, session, request, now);
    }
    void OnCallerDisconnected(const std::shared_ptr<HttpServerSession>&,
                              TimePoint) override {}

   private:
    Soak* m_soak;
    const size_t m_node;
  };

  class Store : public HttpRequestHandler {
   public:
    explicit Store(Soak* soak) : m_soak(soak) {}
    void OnRequest(const std::shared_ptr<HttpServerSession>& session,
                   HttpRequest request, TimePoint now) override {
      m_soak->OnStoreRequest(session, request, now);
    }
    void OnCallerDisconnected(const std::shared_ptr<HttpServerSession>& session,
                              TimePoint) override {
      m_soak->m_watches.erase(session);
    }

   private:
    Soak* m_soak;
  };

  int Draw(int low, int high) {
    return boost::random::uniform_int_distribution<>(low, high)(m_random);
  }

  void Break(const std::string& what) {
    ++m_broken;
    std::printf("%.3f BROKEN %s\n", SinceStart(), what.c_str());
  }

  void Note(const std::string& what) {
    std::printf("%.3f %s\n", SinceStart(), what.c_str());
  }

  double SinceStart() const {
    return std::chrono::duration<double>(BootClock::now() - m_start).count();
  }

  // --- the fleet

  void AddNode(size_t index) {
    Node& node = m_nodes[index];
    node.index = index;
    node.ip = absl::StrFormat("127.0.1.%d", static_cast<int>(index + 1));
    node.service = kServices[index % 2];
    node.server_id = absl::StrFormat("i-%d", static_cast<int>(index));
    node.caller_port = FreeLoopbackPort();
    node.health_port = FreeLoopbackPort();
    node.server_port = FreeLoopbackPort();
    // Other nodes reach this one through a network that can be disturbed.
    node.network = std::make_unique<FaultProxy>(
        &m_loop, SocketAddress{NetworkIp(index), m_peer_port},
        SocketAddress{node.ip, m_peer_port});
    node.server = std::make_unique<Server>(this, index);
    std::string reason;
    node.listener = TcpListener::Listen(
        &m_loop, {node.ip, node.server_port},
        [this, index](std::shared_ptr<TcpConnection> connection,
                      TimePoint now) {
          HttpServerSession::Start(&m_loop, std::move(connection),
                                   m_nodes[index].server.get(), {}, now);
        },
        &reason);
    PublishServer(index, BootClock::now());
  }

  static std::string NetworkIp(size_t index) {
    return absl::StrFormat("127.0.2.%d", static_cast<int>(index + 1));
  }

  void StartNode(size_t index) {
    Node& node = m_nodes[index];
    const std::string path =
        absl::StrFormat("%s/%d.toml", m_directory, static_cast<int>(index));
    std::ofstream(path) << absl::StrFormat(
        "node_name = \"vm-%d\"\nip = \"%s\"\nzone = \"z%d\"\n"
        "service = \"%s\"\napp_addr = \"%s:%d\"\n"
        "bounds = [\"grace_s=6\", \"retry_budget_ratio=0.2\"]\n"
        "[zones]\nz0 = \"r\"\nz1 = \"r\"\n[listen]\ninbound = \"%s:%d\"\n"
        "outbound = \"%s:%d\"\nready = \"%s:%d\"\n[platform]\n"
        "address = \"127.0.0.1:%d\"\n",
        static_cast<int>(index), node.ip, static_cast<int>(index % 2),
        node.service, node.ip, node.server_port, node.ip, m_peer_port, node.ip,
        node.caller_port, node.ip, node.health_port, m_store_port);
    const std::string variable = "VANILLATILLER_NODE_FILE=" + path;
    char* environment[] = {const_cast<char*>(variable.c_str()), nullptr};
    char program[] = VTADAPTER;
    char* arguments[] = {program, nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const std::string log = path + ".log";
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    if (posix_spawn(&node.pid, program, &actions, nullptr, arguments,
                    environment) != 0) {
      Break("cannot start " + std::string(program));
    }
    posix_spawn_file_actions_destroy(&actions);
  }

  // Starts processes that ended anew, as the platform does.
  void Reap() {
    for (Node& node : m_nodes) {
      int status = 0;
      if (node.pid <= 0 || waitpid(node.pid, &status, WNOHANG) != node.pid) {
        continue;
      }
      node.pid = -1;
      if (WIFSIGNALED(status) && WTERMSIG(status) != SIGKILL) {
        Break(absl::StrFormat("node %d died of signal %d",
                              static_cast<int>(node.index), WTERMSIG(status)));
      }
      m_loop.Schedule(BootClock::now() + milliseconds(300),
                      [this, index = node.index](TimePoint) {
                        if (m_nodes[index].pid <= 0) StartNode(index);
                      });
    }
    m_loop.Schedule(BootClock::now() + milliseconds(50),
                    [this](TimePoint) { Reap(); });
  }

  // --- the store

  void ListenStore() {
    std::string reason;
    m_store_listener = TcpListener::Listen(
        &m_loop, {"127.0.0.1", m_store_port},
        [this](std::shared_ptr<TcpConnection> connection, TimePoint now) {
          HttpServerSession::Start(&m_loop, std::move(connection), &m_store, {},
                                   now);
        },
        &reason);
  }

  void Put(const std::string& key, const std::string& value, TimePoint now) {
    std::string encoded;
    absl::Base64Escape(value, &encoded);
    ++m_revision;
    m_items[key] = absl::StrFormat(
        R"({"key":"%s","value":"%s","revision":%d,"created_rev":1,"lease":0,)"
        R"("current_rev":%d})",
        key, encoded, m_revision, m_revision);
    m_history.push_back(m_items[key]);
    if (m_store_is_down) return;
    for (const auto& [session, after] : std::exchange(m_watches, {})) {
      AnswerWatch(session, after, now);
    }
  }

  void AnswerWatch(const std::shared_ptr<HttpServerSession>& session,
                   size_t after, TimePoint now) {
    std::string events;
    for (size_t i = after; i < m_history.size(); ++i) {
      events += (events.empty() ? "" : ",") + m_history[i];
    }
    session->Respond({200,
                      {},
                      absl::StrFormat(R"({"events":[%s],"current_rev":%d})",
                                      events, m_revision)},
                     now);
  }

  void OnStoreRequest(const std::shared_ptr<HttpServerSession>& session,
                      const HttpRequest& request, TimePoint now) {
    if (m_store_is_down) {
      session->Respond({503, {}, ""}, now);
      return;
    }
    if (request.target.find("kv-key") != std::string::npos) {
      session->Respond({200, {}, m_items["op/config"]}, now);
      return;
    }
    if (request.target.find("kv-range") != std::string::npos) {
      std::string items;
      for (const auto& [key, item] : m_items) {
        if (!key.starts_with("servers/")) continue;
        items += (items.empty() ? "" : ",") + item;
      }
      session->Respond(
          {200,
           {},
           absl::StrFormat(
               R"({"items":[%s],"more_pages":false,"current_rev":%d})", items,
               m_revision)},
          now);
      return;
    }
    const size_t at = request.target.find("after=");
    const size_t after =
        std::strtoul(request.target.c_str() + at + 6, nullptr, 10);
    if (after < m_history.size()) {
      AnswerWatch(session, after, now);
      return;
    }
    m_watches[session] = after;
  }

  // Route /move/ belongs to the service that the version names.
  void PublishConfig(TimePoint now) {
    ++m_version;
    const auto rule = [](const char* name, const char* type, const char* prefix,
                         const char* service) {
      return absl::StrFormat(
          R"({"name":"%s","type":"%s","target_latency_ms":500,"priority":1,)"
          R"("match":{"prefix":"%s"},"action":{"service":"%s",)"
          R"("timeout_ms":2500,"max_attempts":2}})",
          name, type, prefix, service);
    };
    Put("op/config",
        absl::StrFormat(
            R"({"version":%d,"limits":{"max_header_bytes":16384,)"
            R"("max_body_bytes":100000,"header_timeout_ms":3000,)"
            R"("idle_timeout_ms":15000},"listeners":[{"host":"soak",)"
            R"("rules":[%s,%s,%s]}],"clusters":[]})",
            m_version, rule("many", "safe", "/many/", "alpha"),
            rule("once", "unsafe", "/once/", "beta"),
            rule("move", "safe", "/move/", ServiceOfMove())),
        now);
  }

  const char* ServiceOfMove() const { return kServices[m_version % 2]; }

  void PublishServer(size_t index, TimePoint now) {
    const Node& node = m_nodes[index];
    Put("servers/" + node.server_id,
        absl::StrFormat(
            R"({"address":"%s:%d","born":1700000000000,"info":{)"
            R"("service":"%s","version":"v","zone":"z%d","slots":8},)"
            R"("status":{"state":"%s","sequence":1,)"
            R"("warmup_remaining_ms":0}})",
            NetworkIp(index), node.server_port, node.service,
            static_cast<int>(index % 2),
            node.is_draining ? "draining" : "ready"),
        now);
  }

  // --- the servers

  void OnServerRequest(size_t index,
                       const std::shared_ptr<HttpServerSession>& session,
                       const HttpRequest& request, TimePoint now) {
    const Node& node = m_nodes[index];
    const std::string id(request.headers.Find("Request-Id").value_or(""));
    HttpResponse response;
    response.headers.Add("Request-Id", id);
    if (request.headers.Find("Target-Instance") != node.server_id) {
      response.status = 421;
      session->Respond(response, now);
      return;
    }
    if (++m_runs[id] > 1 && request.target.starts_with("/once/")) {
      Break("request " + id + " ran twice");
    }
    if (!request.target.starts_with("/move/") &&
        node.service !=
            (request.target.starts_with("/many/") ? "alpha" : "beta")) {
      Break("request " + id + " ran at a service of no route");
    }
    if (node.is_draining && m_calm_since < node.drain_acknowledged &&
        now - node.drain_acknowledged > kDrainBound) {
      Break("request " + id + " reached a server that drains");
    }
    response.status = Draw(0, 19) == 0 ? 500 : 200;
    response.headers.Add("Response-Signature", "s-" + id);
    response.headers.Add("Served-By", node.service);
    response.body = "body-" + id;
    m_loop.Schedule(now + milliseconds(Draw(1, 150)),
                    [session, response](TimePoint later) {
                      session->Respond(response, later);
                    });
  }

  // --- the callers

  std::shared_ptr<FakeCall> Send(
      size_t index, const std::string& path,
      const std::function<void(const FakeCall&)>& done) {
    const std::string id = absl::StrFormat("r%d", ++m_calls);
    auto call = std::make_shared<FakeCall>();
    call->session = std::make_shared<HttpClientSession>(
        &m_loop, SocketAddress{m_nodes[index].ip, m_nodes[index].caller_port},
        "");
    HttpRequest request{path.starts_with("/once/") ? "POST" : "GET",
                        path,
                        {},
                        path.starts_with("/once/") ? "charge" : ""};
    request.headers.Add("Host", "soak");
    request.headers.Add("Request-Id", id);
    request.headers.Add("Deadline-Ms", "3000");
    call->session->Send(
        request,
        [this, call, id, path, done](ExchangeResult result, TimePoint) {
          call->is_over = true;
          call->result = std::move(result);
          CheckAnswer(id, path, *call);
          done(*call);
          call->session.reset();
        },
        BootClock::now());
    return call;
  }

  void CheckAnswer(const std::string& id, const std::string& path,
                   const FakeCall& call) {
    if (call.result.end != ExchangeEnd::kAnswered) {
      ++m_lost;
      return;
    }
    const HttpResponse& answer = call.result.response;
    if (answer.status == 503 || answer.status == 429) {
      if (path.starts_with("/once/")) m_refused.insert(id);
      return;
    }
    if (answer.status != 200) return;
    ++m_answered;
    if (answer.body != "body-" + id ||
        answer.headers.Find("Response-Signature") != "s-" + id) {
      Break("request " + id + " got the answer of another");
    }
  }

  void NextCall() {
    if (BootClock::now() >= m_faults_end) return;
    const size_t index = Draw(0, static_cast<int>(m_nodes.size()) - 1);
    const char* const paths[] = {"/many/a", "/once/b", "/move/c"};
    Send(index, paths[Draw(0, 2)], [](const FakeCall&) {});
    m_loop.Schedule(BootClock::now() + milliseconds(Draw(2, 20)),
                    [this](TimePoint) { NextCall(); });
  }

  // "Not run" stays true to the end.
  void CheckRefusals() {
    for (const std::string& id : m_refused) {
      if (m_runs.contains(id)) Break("request " + id + " was refused and ran");
    }
  }

  // --- the faults

  using Fault = void (Soak::*)(size_t node, TimePoint now);

  void NextFault() {
    const TimePoint now = BootClock::now();
    if (now >= m_faults_end) return;
    static constexpr Fault kFaults[] = {
        &Soak::Kill,      &Soak::Terminate, &Soak::Pause,  &Soak::Reset,
        &Soak::Silence,   &Soak::StoreDown, &Soak::Change, &Soak::Drain,
        &Soak::Terminate, &Soak::Change,    &Soak::Hangup};
    const int fault = Draw(0, std::size(kFaults) - 1);
    (this->*kFaults[fault])(Draw(0, static_cast<int>(m_nodes.size()) - 1), now);
    m_loop.Schedule(now + milliseconds(Draw(50, 1500)),
                    [this](TimePoint) { NextFault(); });
  }

  // Faults that excuse a late view of the fleet for a while.
  void Unsettle(TimePoint until) {
    m_calm_since = std::max(m_calm_since, until + seconds(4));
  }

  void Signal(size_t index, int signal) {
    if (m_nodes[index].pid > 0) kill(m_nodes[index].pid, signal);
  }

  void Kill(size_t index, TimePoint now) {
    Note(absl::StrFormat("kill %d", static_cast<int>(index)));
    Unsettle(now);
    Signal(index, SIGKILL);
  }
  void Terminate(size_t index, TimePoint now) {
    Note(absl::StrFormat("terminate %d", static_cast<int>(index)));
    Unsettle(now + seconds(6));
    Signal(index, SIGTERM);
  }
  void Hangup(size_t index, TimePoint) {
    Note(absl::StrFormat("hangup %d", static_cast<int>(index)));
    Signal(index, SIGHUP);
  }
  void Pause(size_t index, TimePoint now) {
    const Duration length = milliseconds(Draw(100, 4000));
    Note(absl::StrFormat("pause %d for %.1f s", static_cast<int>(index),
                         std::chrono::duration<double>(length).count()));
    Unsettle(now + length);
    Signal(index, SIGSTOP);
    m_loop.Schedule(now + length,
                    [this, index](TimePoint) { Signal(index, SIGCONT); });
  }
  void Reset(size_t index, TimePoint now) {
    Note(absl::StrFormat("reset %d", static_cast<int>(index)));
    Unsettle(now);
    m_nodes[index].network->Reset();
  }
  void Silence(size_t index, TimePoint now) {
    Note(absl::StrFormat("silence %d", static_cast<int>(index)));
    Unsettle(now);
    m_nodes[index].network->DropTraffic();
  }
  void StoreDown(size_t, TimePoint now) {
    const Duration length = milliseconds(Draw(200, 6000));
    Note("store down");
    Unsettle(now + length);
    m_store_is_down = true;
    for (const auto& [session, after] : std::exchange(m_watches, {})) {
      session->Abort();
    }
    m_loop.Schedule(now + length,
                    [this](TimePoint) { m_store_is_down = false; });
  }
  void Change(size_t, TimePoint now) {
    if (m_store_is_down) return;
    PublishConfig(now);
    Note(absl::StrFormat("version %d", m_version));
  }
  void Drain(size_t index, TimePoint now) {
    Node& node = m_nodes[index];
    // Each service keeps a server.
    size_t others = 0;
    for (const Node& other : m_nodes) {
      others += !other.is_draining && other.service == node.service ? 1 : 0;
    }
    if (m_store_is_down || (!node.is_draining && others < 2)) return;
    node.is_draining = !node.is_draining;
    node.drain_acknowledged = now;
    Note(absl::StrFormat("%s %d", node.is_draining ? "drain" : "undrain",
                         static_cast<int>(index)));
    PublishServer(index, now);
  }

  // All is quiet: every node serves, by the newest version.
  void CheckSettled(TimePoint now) {
    auto left = std::make_shared<size_t>(m_nodes.size());
    for (size_t i = 0; i < m_nodes.size(); ++i) {
      Send(i, "/move/end", [this, i, left](const FakeCall& call) {
        const HttpResponse& answer = call.result.response;
        // A server fails one request in twenty by itself.
        if (answer.status != 200 && answer.status != 500) {
          Break(absl::StrFormat("node %d does not serve: %d",
                                static_cast<int>(i), answer.status));
        }
        if (answer.status == 200 &&
            answer.headers.Find("Served-By") != ServiceOfMove()) {
          Break(absl::StrFormat("node %d has an old version",
                                static_cast<int>(i)));
        }
        if (--*left == 0) m_loop.Stop();
      });
    }
    m_loop.Schedule(now + kCallerWait + seconds(2), [this](TimePoint) {
      Break("no answer at the end");
      m_loop.Stop();
    });
  }

  EventLoop m_loop;
  boost::random::mt19937_64 m_random;
  const Duration m_length;
  std::string m_directory;
  uint16_t m_peer_port = 0;
  uint16_t m_store_port = 0;
  Store m_store{this};
  std::unique_ptr<TcpListener> m_store_listener;
  std::map<std::shared_ptr<HttpServerSession>, size_t> m_watches;
  std::map<std::string, std::string> m_items;
  std::vector<std::string> m_history;
  size_t m_revision = 0;
  int m_version = 0;
  bool m_store_is_down = false;
  std::vector<Node> m_nodes;
  TimePoint m_start;
  TimePoint m_faults_end;
  TimePoint m_calm_since;
  size_t m_calls = 0;
  size_t m_answered = 0;
  size_t m_lost = 0;
  size_t m_broken = 0;
  std::map<std::string, int> m_runs;
  std::set<std::string> m_refused;
};

}  // namespace
}  // namespace vanillatiller

int main(int argc, char** argv) {
  const auto argument = [argc, argv](int index, long fallback) {
    return argc > index ? std::strtol(argv[index], nullptr, 10) : fallback;
  };
  signal(SIGPIPE, SIG_IGN);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  vanillatiller::Soak soak(static_cast<uint64_t>(argument(1, 1)),
                           std::chrono::seconds(argument(2, 15)),
                           static_cast<size_t>(argument(3, 6)));
  return soak.Run() == 0 ? 0 : 1;
}
