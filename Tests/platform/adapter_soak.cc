// Randomized soak test of vtadapter: runs real processes on loopback and
// simulates the platform's store, the backend servers, the callers and the
// network between nodes.
//
//   adapter_soak [SEED [SECONDS [NODES]]]
//
// Prints each violated guarantee with its time and exits with 1. The same seed
// selects the same faults.

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
// Time for every node to apply the latest state after the last fault.
constexpr Duration kSettleTime = seconds(8);
constexpr Duration kCallerWait = milliseconds(3000);
// Time after which a server marked as draining must receive no new requests.
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

  // Returns the number of violations.
  size_t Run() {
    m_start = BootClock::now();
    for (size_t i = 0; i < m_nodes.size(); ++i) StartNode(i);
    m_faults_end = m_start + seconds(3) + m_length;
    m_loop.Schedule(m_start + seconds(3),
                    [this](TimePoint) { InjectNextFault(); });
    m_loop.Schedule(m_start + seconds(2),
                    [this](TimePoint) { SendNextCall(); });
    m_loop.Schedule(m_faults_end + kSettleTime,
                    [this](TimePoint now) { CheckSettled(now); });
    RestartExitedNodes();
    m_loop.Run();
    CheckRefusals();
    std::printf(
        "%zu calls, %zu answered, %zu refused, %zu unanswered; %zu "
        "violations\n",
        m_calls, m_answered, m_refused.size(), m_unanswered, m_violations);
    return m_violations;
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

  // Backend server that responds after a random delay.
  class Server : public HttpRequestHandler {
   public:
    Server(Soak* soak, size_t node) : m_soak(soak), m_node(node) {}
    void OnRequest(const HttpResponderPtr& session, HttpRequest request,
                   TimePoint now) override {
      m_soak->OnServerRequest(m_node, session, request, now);
    }
    void OnCallerDisconnected(const HttpResponderPtr&, TimePoint) override {}

   private:
    Soak* m_soak;
    const size_t m_node;
  };

  class Store : public HttpRequestHandler {
   public:
    explicit Store(Soak* soak) : m_soak(soak) {}
    void OnRequest(const HttpResponderPtr& session, HttpRequest request,
                   TimePoint now) override {
      m_soak->OnStoreRequest(session, request, now);
    }
    void OnCallerDisconnected(const HttpResponderPtr& session,
                              TimePoint) override {
      m_soak->m_watches.erase(session);
    }

   private:
    Soak* m_soak;
  };

  int RandomInt(int low, int high) {
    return boost::random::uniform_int_distribution<>(low, high)(m_random);
  }

  void ReportViolation(const std::string& what) {
    ++m_violations;
    std::printf("%.3f VIOLATION %s\n", SinceStart(), what.c_str());
  }

  void LogEvent(const std::string& what) {
    std::printf("%.3f %s\n", SinceStart(), what.c_str());
  }

  double SinceStart() const {
    return std::chrono::duration<double>(BootClock::now() - m_start).count();
  }

  // Nodes

  void AddNode(size_t index) {
    Node& node = m_nodes[index];
    node.index = index;
    node.ip = absl::StrFormat("127.0.1.%d", static_cast<int>(index + 1));
    node.service = kServices[index % 2];
    node.server_id = absl::StrFormat("i-%d", static_cast<int>(index));
    node.caller_port = FreeLoopbackPort();
    node.health_port = FreeLoopbackPort();
    node.server_port = FreeLoopbackPort();
    // Other nodes reach this one through a fault-injecting proxy.
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
      ReportViolation("cannot start " + std::string(program));
    }
    posix_spawn_file_actions_destroy(&actions);
  }

  // Restarts exited processes, as the platform does.
  void RestartExitedNodes() {
    for (Node& node : m_nodes) {
      int status = 0;
      if (node.pid <= 0 || waitpid(node.pid, &status, WNOHANG) != node.pid) {
        continue;
      }
      node.pid = -1;
      if (WIFSIGNALED(status) && WTERMSIG(status) != SIGKILL) {
        ReportViolation(absl::StrFormat("node %d was killed by signal %d",
                                        static_cast<int>(node.index),
                                        WTERMSIG(status)));
      }
      m_loop.Schedule(BootClock::now() + milliseconds(300),
                      [this, index = node.index](TimePoint) {
                        if (m_nodes[index].pid <= 0) StartNode(index);
                      });
    }
    m_loop.Schedule(BootClock::now() + milliseconds(50),
                    [this](TimePoint) { RestartExitedNodes(); });
  }

  // Store

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

  void AnswerWatch(const HttpResponderPtr& session, size_t after,
                   TimePoint now) {
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

  void OnStoreRequest(const HttpResponderPtr& session,
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

  // Route /move/ alternates between the services with each version.
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

  // Backend servers

  void OnServerRequest(size_t index, const HttpResponderPtr& session,
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
    if (++m_executions[id] > 1 && request.target.starts_with("/once/")) {
      ReportViolation("request " + id + " ran twice");
    }
    if (!request.target.starts_with("/move/") &&
        node.service !=
            (request.target.starts_with("/many/") ? "alpha" : "beta")) {
      ReportViolation("request " + id +
                      " ran at a service that its route does not target");
    }
    if (node.is_draining && m_settled_at < node.drain_acknowledged &&
        now - node.drain_acknowledged > kDrainBound) {
      ReportViolation("request " + id + " reached a draining server");
    }
    response.status = RandomInt(0, 19) == 0 ? 500 : 200;
    response.headers.Add("Response-Signature", "s-" + id);
    response.headers.Add("Served-By", node.service);
    response.body = "body-" + id;
    m_loop.Schedule(now + milliseconds(RandomInt(1, 150)),
                    [session, response](TimePoint later) {
                      session->Respond(response, later);
                    });
  }

  // Callers

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
      ++m_unanswered;
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
      ReportViolation("request " + id + " got the response to another request");
    }
  }

  void SendNextCall() {
    if (BootClock::now() >= m_faults_end) return;
    const size_t index = RandomInt(0, static_cast<int>(m_nodes.size()) - 1);
    const char* const paths[] = {"/many/a", "/once/b", "/move/c"};
    Send(index, paths[RandomInt(0, 2)], [](const FakeCall&) {});
    m_loop.Schedule(BootClock::now() + milliseconds(RandomInt(2, 20)),
                    [this](TimePoint) { SendNextCall(); });
  }

  // A request that was refused as not run must never run.
  void CheckRefusals() {
    for (const std::string& id : m_refused) {
      if (m_executions.contains(id)) {
        ReportViolation("request " + id + " was refused and ran");
      }
    }
  }

  // Faults

  using Fault = void (Soak::*)(size_t node, TimePoint now);

  void InjectNextFault() {
    const TimePoint now = BootClock::now();
    if (now >= m_faults_end) return;
    static constexpr Fault kFaults[] = {
        &Soak::Kill,      &Soak::Terminate, &Soak::Pause,  &Soak::Reset,
        &Soak::Silence,   &Soak::StoreDown, &Soak::Change, &Soak::Drain,
        &Soak::Terminate, &Soak::Change,    &Soak::Hangup};
    const int fault = RandomInt(0, std::size(kFaults) - 1);
    (this->*kFaults[fault])(RandomInt(0, static_cast<int>(m_nodes.size()) - 1),
                            now);
    m_loop.Schedule(now + milliseconds(RandomInt(50, 1500)),
                    [this](TimePoint) { InjectNextFault(); });
  }

  // Extends the period in which nodes may have outdated fleet state.
  void ExtendUnsettledPeriod(TimePoint until) {
    m_settled_at = std::max(m_settled_at, until + seconds(4));
  }

  void Signal(size_t index, int signal) {
    if (m_nodes[index].pid > 0) kill(m_nodes[index].pid, signal);
  }

  void Kill(size_t index, TimePoint now) {
    LogEvent(absl::StrFormat("kill %d", static_cast<int>(index)));
    ExtendUnsettledPeriod(now);
    Signal(index, SIGKILL);
  }
  void Terminate(size_t index, TimePoint now) {
    LogEvent(absl::StrFormat("terminate %d", static_cast<int>(index)));
    ExtendUnsettledPeriod(now + seconds(6));
    Signal(index, SIGTERM);
  }
  void Hangup(size_t index, TimePoint) {
    LogEvent(absl::StrFormat("hangup %d", static_cast<int>(index)));
    Signal(index, SIGHUP);
  }
  void Pause(size_t index, TimePoint now) {
    const Duration length = milliseconds(RandomInt(100, 4000));
    LogEvent(absl::StrFormat("pause %d for %.1f s", static_cast<int>(index),
                             std::chrono::duration<double>(length).count()));
    ExtendUnsettledPeriod(now + length);
    Signal(index, SIGSTOP);
    m_loop.Schedule(now + length,
                    [this, index](TimePoint) { Signal(index, SIGCONT); });
  }
  void Reset(size_t index, TimePoint now) {
    LogEvent(absl::StrFormat("reset %d", static_cast<int>(index)));
    ExtendUnsettledPeriod(now);
    m_nodes[index].network->Reset();
  }
  void Silence(size_t index, TimePoint now) {
    LogEvent(absl::StrFormat("silence %d", static_cast<int>(index)));
    ExtendUnsettledPeriod(now);
    m_nodes[index].network->DropTraffic();
  }
  void StoreDown(size_t, TimePoint now) {
    const Duration length = milliseconds(RandomInt(200, 6000));
    LogEvent("store down");
    ExtendUnsettledPeriod(now + length);
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
    LogEvent(absl::StrFormat("version %d", m_version));
  }
  void Drain(size_t index, TimePoint now) {
    Node& node = m_nodes[index];
    // Each service keeps at least one active server.
    size_t others = 0;
    for (const Node& other : m_nodes) {
      others += !other.is_draining && other.service == node.service ? 1 : 0;
    }
    if (m_store_is_down || (!node.is_draining && others < 2)) return;
    node.is_draining = !node.is_draining;
    node.drain_acknowledged = now;
    LogEvent(absl::StrFormat("%s %d", node.is_draining ? "drain" : "undrain",
                             static_cast<int>(index)));
    PublishServer(index, now);
  }

  // After the faults, every node must serve with the latest version.
  void CheckSettled(TimePoint now) {
    auto left = std::make_shared<size_t>(m_nodes.size());
    for (size_t i = 0; i < m_nodes.size(); ++i) {
      Send(i, "/move/end", [this, i, left](const FakeCall& call) {
        const HttpResponse& answer = call.result.response;
        // A server randomly fails one request in twenty.
        if (answer.status != 200 && answer.status != 500) {
          ReportViolation(absl::StrFormat("node %d does not serve: %d",
                                          static_cast<int>(i), answer.status));
        }
        if (answer.status == 200 &&
            answer.headers.Find("Served-By") != ServiceOfMove()) {
          ReportViolation(absl::StrFormat("node %d has an old version",
                                          static_cast<int>(i)));
        }
        if (--*left == 0) m_loop.Stop();
      });
    }
    m_loop.Schedule(now + kCallerWait + seconds(2), [this](TimePoint) {
      ReportViolation("no answer at the end");
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
  std::map<HttpResponderPtr, size_t> m_watches;
  std::map<std::string, std::string> m_items;
  std::vector<std::string> m_history;
  size_t m_revision = 0;
  int m_version = 0;
  bool m_store_is_down = false;
  std::vector<Node> m_nodes;
  TimePoint m_start;
  TimePoint m_faults_end;
  TimePoint m_settled_at;
  size_t m_calls = 0;
  size_t m_answered = 0;
  size_t m_unanswered = 0;
  size_t m_violations = 0;
  std::map<std::string, int> m_executions;
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
