// Randomized soak test of vtadapter: runs real processes on loopback and
// simulates the platform's store, the backend servers, the callers and the
// network between nodes.
//
//   adapter_soak [SEED [SECONDS [NODES [VTADAPTER]]]]
//
// Prints each violated guarantee with its time and exits with 1; the logs of
// the nodes are kept then. The same seed selects the same faults.

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

#include "absl/strings/str_format.h"
#include "config_history.h"
#include "notice_audit.h"
#include "relay_harness.h"
#include "soak_store.h"

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
// Time without a disturbance of its own after which the time bounds hold for a
// node.
constexpr Duration kStableTime = seconds(4);
// Time after the effect of a version was seen at a node from which that node
// must not fall behind it.
constexpr Duration kRollbackSlack = milliseconds(250);
// A version serves the routes that this many versions before it have added.
constexpr int kKeptRoutes = 8;
constexpr size_t kSmallBody = 2000;
constexpr size_t kLargeBody = 100000;
constexpr size_t kMediumBody = 5000;
// Writes that each restore of the store loses, beside those of the copy's age.
constexpr int kLostWrites = 100;
// Delay of the soak's own timers after which its times are not trusted.
constexpr Duration kMaxLag = milliseconds(200);
constexpr Duration kLagCheckPeriod = milliseconds(50);

class Soak {
 public:
  Soak(uint64_t seed, Duration length, size_t nodes, std::string program)
      : m_profile(&ProfileOf(seed)),
        m_random(seed),
        m_length(length),
        m_program(std::move(program)),
        m_store(&m_loop, nodes),
        m_notices(nodes),
        m_nodes(nodes) {
    char directory[] = "/tmp/adapter-soak-XXXXXX";
    m_directory = mkdtemp(directory);
    m_peer_port = FreeLoopbackPort();
    for (size_t i = 0; i < nodes; ++i) AddNode(i);
    PublishConfig(BootClock::now());
  }

  ~Soak() {
    for (Node& node : m_nodes) {
      if (node.pid > 0) kill(node.pid, SIGKILL);
      if (node.pid > 0) waitpid(node.pid, nullptr, 0);
    }
    if (m_violations > 0) {
      std::printf("logs: %s\n", m_directory.c_str());
      return;
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
    m_loop.Schedule(m_faults_end, [this](TimePoint now) { EndNotices(now); });
    m_loop.Schedule(m_faults_end + kSettleTime,
                    [this](TimePoint now) { CheckSettled(now); });
    RestartExitedNodes();
    CheckLag(m_start);
    m_loop.Run();
    CheckRefusals();
    std::printf(
        "%zu calls, %zu answered, %zu refused, %zu unanswered, %zu judged by "
        "the configuration, %zu by notices of servers; %zu violations\n",
        m_calls, m_answered, m_refused.size(), m_unanswered, m_judged,
        m_notices.judged(), m_violations);
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
    // Number of the server's run.
    int server_run = 0;
    // Time from which the time bounds hold for the node.
    TimePoint settled_at;
    TimePoint store_fault_end;
    // The newest version of which this process has shown the effect, and when
    // that was first seen.
    int seen_version = 0;
    TimePoint seen_at;
    // The connection of a caller that keeps it.
    std::shared_ptr<HttpClientSession> kept;
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

  // A request of a caller.
  struct Sent {
    std::string id;
    size_t node = 0;
    std::string path;
    size_t body_size = 0;
    TimePoint at;
    // Process of the node that was asked.
    pid_t pid = -1;

    // With the slashes around it.
    std::string Prefix() const { return path.substr(0, path.find('/', 1) + 1); }
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
    node.ip = SoakIp(1, index);
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

  static std::string NetworkIp(size_t index) { return SoakIp(2, index); }

  void StartNode(size_t index) {
    Node& node = m_nodes[index];
    Disturb(index, BootClock::now());
    m_notices.Excuse(index);
    node.seen_version = 0;
    const std::string path =
        absl::StrFormat("%s/%d.toml", m_directory, static_cast<int>(index));
    std::ofstream(path) << absl::StrFormat(
        "node_name = \"vm-%d\"\nip = \"%s\"\nzone = \"z%d\"\n"
        "service = \"%s\"\napp_addr = \"%s:%d\"\n"
        "bounds = [\"grace_s=6\", \"retry_budget_ratio=0.2\"]\n"
        "[zones]\nz0 = \"r\"\nz1 = \"r\"\nz2 = \"r\"\n"
        "[listen]\ninbound = \"%s:%d\"\n"
        "outbound = \"%s:%d\"\nready = \"%s:%d\"\n[platform]\n"
        "address = \"%s\"\n",
        static_cast<int>(index), node.ip, static_cast<int>(index % 3),
        node.service, node.ip, node.server_port, node.ip, m_peer_port, node.ip,
        node.caller_port, node.ip, node.health_port,
        m_store.EntryOf(index).ToString());
    const std::string variable = "VANILLATILLER_NODE_FILE=" + path;
    char* environment[] = {const_cast<char*>(variable.c_str()), nullptr};
    char* arguments[] = {m_program.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const std::string log = path + ".log";
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    if (posix_spawn(&node.pid, m_program.c_str(), &actions, nullptr, arguments,
                    environment) != 0) {
      ReportViolation("cannot start " + m_program);
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

  // Route /move/ alternates between the services with each version, each
  // version adds a route, and the limit of bodies changes at times.
  void PublishConfig(TimePoint now) {
    ConfigHistory::Version version;
    version.number = ++m_version;
    version.max_body_bytes = RandomInt(0, 1) == 0 ? kSmallBody : kLargeBody;
    std::string rules;
    const auto add = [&version, &rules](const std::string& name,
                                        const char* type,
                                        const std::string& service) {
      version.services["/" + name + "/"] = service;
      rules +=
          (rules.empty() ? "" : ",") +
          absl::StrFormat(R"({"name":"%s","type":"%s","target_latency_ms":500,)"
                          R"("priority":1,"match":{"prefix":"/%s/"},)"
                          R"("action":{"service":"%s","timeout_ms":2500,)"
                          R"("max_attempts":2}})",
                          name, type, name, service);
    };
    add("many", "safe", "alpha");
    add("once", "unsafe", "beta");
    add("move", "safe", kServices[m_version % 2]);
    for (int i = std::max(1, m_version - kKeptRoutes); i <= m_version; ++i) {
      add(VersionRoute(i), "safe", "alpha");
    }
    m_config = absl::StrFormat(
        R"({"version":%d,"limits":{"max_header_bytes":16384,)"
        R"("max_body_bytes":%d,"header_timeout_ms":3000,)"
        R"("idle_timeout_ms":15000},"listeners":[{"host":"soak",)"
        R"("rules":[%s]}],"clusters":[]})",
        m_version, version.max_body_bytes, rules);
    m_store.Put("op/config", m_config, now);
    m_history.Add(std::move(version), now);
  }

  static std::string VersionRoute(int version) {
    return absl::StrFormat("v%d", version);
  }

  void PublishServer(size_t index, TimePoint now) {
    const Node& node = m_nodes[index];
    m_store.Put("servers/" + node.server_id,
                absl::StrFormat(
                    R"({"address":"%s:%d","born":%d,"info":{)"
                    R"("service":"%s","version":"v","zone":"z%d","slots":8},)"
                    R"("status":{"state":"%s","sequence":1,)"
                    R"("warmup_remaining_ms":0}})",
                    NetworkIp(index), node.server_port,
                    int64_t{1700000000000} + node.server_run, node.service,
                    static_cast<int>(index % 3),
                    node.is_draining ? "draining" : "ready"),
                now);
  }

  // Backend servers

  void OnServerRequest(size_t index, const HttpResponderPtr& session,
                       const HttpRequest& request, TimePoint now) {
    const Node& node = m_nodes[index];
    const std::string id(request.headers.Find("Request-Id").value_or(""));
    const auto origin = m_origins.find(id);
    if (origin != m_origins.end()) {
      if (const auto broken = m_notices.OnArrival(index, origin->second.node,
                                                  origin->second.at, now)) {
        ReportViolation(*broken + " (" + id + ")");
      }
    }
    HttpResponse response;
    response.headers.Add("Request-Id", id);
    m_notices.AddFields(index, &response.headers);
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
            (request.target.starts_with("/once/") ? "beta" : "alpha")) {
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
    response.headers.Add("Served-At", std::to_string(index));
    response.body = "body-" + id;
    m_loop.Schedule(now + milliseconds(RandomInt(1, 150)),
                    [session, response](TimePoint later) {
                      session->Respond(response, later);
                    });
  }

  // Callers

  // Sends a request on a connection of its own, or on the kept one of the node
  // if that is free.
  void Send(size_t index, const std::string& path, bool may_keep,
            const std::function<void(const FakeCall&)>& done) {
    const TimePoint now = BootClock::now();
    Node& node = m_nodes[index];
    Sent sent{absl::StrFormat("r%d", ++m_calls), index, path, 0, now, node.pid};
    std::string body = path.starts_with("/once/") ? "charge" : "";
    if (path.ends_with("/large")) body = std::string(kMediumBody, 'b');
    sent.body_size = body.size();
    m_origins[sent.id] = {index, now};
    auto call = std::make_shared<FakeCall>();
    call->session = std::make_shared<HttpClientSession>(
        &m_loop, SocketAddress{node.ip, node.caller_port}, "");
    if (may_keep) {
      if (node.kept && node.kept->IsReusable(now)) {
        call->session = node.kept;
      } else {
        node.kept = call->session;
      }
    }
    HttpRequest request{body.empty() ? "GET" : "POST", path, {}, body};
    request.headers.Add("Host", "soak");
    request.headers.Add("Request-Id", sent.id);
    request.headers.Add("Deadline-Ms", "3000");
    call->session->Send(
        request,
        [this, call, sent, done](ExchangeResult result, TimePoint later) {
          call->is_over = true;
          call->result = std::move(result);
          CheckAnswer(sent.id, sent.path, *call);
          RecordNotice(sent, *call, later);
          CheckConfiguration(sent, *call, later);
          done(*call);
          call->session.reset();
        },
        now);
  }

  void RecordNotice(const Sent& sent, const FakeCall& call, TimePoint now) {
    const HttpHeaders& headers = call.result.response.headers;
    const auto server = headers.Find("Served-At");
    if (!server || sent.pid != m_nodes[sent.node].pid) return;
    m_notices.OnPassedOn(
        std::strtoul(std::string(*server).c_str(), nullptr, 10), sent.node,
        headers, now);
  }

  // An answer of a node must follow from a version that may be in force there.
  void CheckConfiguration(const Sent& sent, const FakeCall& call,
                          TimePoint now) {
    if (call.result.end != ExchangeEnd::kAnswered) return;
    const HttpResponse& answer = call.result.response;
    const std::string served_by(answer.headers.Find("Served-By").value_or(""));
    const bool is_denied = answer.status == 404 || answer.status == 413;
    if (!is_denied && served_by.empty()) return;
    Node& node = m_nodes[sent.node];
    CheckRollback(sent, is_denied, now);
    if (sent.at < node.settled_at) return;
    ++m_judged;
    const std::string what = absl::StrFormat(
        "request %s (%s) sent %.3f at node %d: status %d, run by '%s'", sent.id,
        sent.path, std::chrono::duration<double>(sent.at - m_start).count(),
        static_cast<int>(sent.node), answer.status, served_by);
    if (answer.status == 413) {
      if (!m_history.MayRefuseBody(sent.body_size, sent.at, now)) {
        ReportViolation("DENIED " + what);
      }
      return;
    }
    if (!m_history.AllowedServices(sent.Prefix(), sent.at, now)
             .contains(served_by)) {
      ReportViolation((is_denied ? "DENIED " : "CONFIG ") + what);
    }
  }

  // A process that has shown the effect of a version must not fall behind it.
  void CheckRollback(const Sent& sent, bool is_denied, TimePoint now) {
    Node& node = m_nodes[sent.node];
    int version = 0;
    if (std::sscanf(sent.path.c_str(), "/v%d/", &version) != 1) return;
    if (sent.pid != node.pid) return;
    if (!is_denied) {
      if (version <= node.seen_version) return;
      node.seen_version = version;
      node.seen_at = now;
      return;
    }
    if (version <= node.seen_version && version > m_version - kKeptRoutes &&
        sent.at > node.seen_at + kRollbackSlack) {
      ReportViolation(absl::StrFormat(
          "CONFIG request %s for the route of version %d denied at node %d, "
          "which has served that of version %d",
          sent.id, version, static_cast<int>(sent.node), node.seen_version));
    }
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
    // Also a route that has just been dropped, and one that will be added.
    const std::string of_version =
        "/" + VersionRoute(RandomInt(std::max(1, m_version - kKeptRoutes - 1),
                                     m_version + 1));
    const std::string paths[] = {"/many/a",        "/once/b", "/move/c",
                                 "/once/large",    "/move/c", of_version + "/d",
                                 of_version + "/d"};
    Send(index, paths[RandomInt(0, std::size(paths) - 1)], RandomInt(0, 1) == 0,
         [](const FakeCall&) {});
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

  // The faults of a run and the pauses between them.
  struct Profile {
    std::vector<Fault> faults;
    int min_pause_ms = 0;
    int max_pause_ms = 0;
  };

  static const Profile& ProfileOf(uint64_t seed) {
    // All faults, close together.
    static const Profile kMixed = {{&Soak::Kill,
                                    &Soak::Terminate,
                                    &Soak::Pause,
                                    &Soak::Reset,
                                    &Soak::Silence,
                                    &Soak::StoreDown,
                                    &Soak::Change,
                                    &Soak::Drain,
                                    &Soak::Terminate,
                                    &Soak::Change,
                                    &Soak::Hangup,
                                    &Soak::StoreTurnsAway,
                                    &Soak::StoreConnectionsGoDark,
                                    &Soak::StoreForgets,
                                    &Soak::NameLimit,
                                    &Soak::NameLimit,
                                    &Soak::LimitService,
                                    &Soak::Leave,
                                    &Soak::Leave,
                                    &Soak::StoreRestores,
                                    &Soak::StoreRestores},
                                   50,
                                   1500};
    // Faults of some nodes, so that the time bounds hold for the others.
    static const Profile kPartial = {
        {&Soak::Change, &Soak::Change, &Soak::Change, &Soak::Change,
         &Soak::StoreTurnsAway, &Soak::StoreTurnsAway, &Soak::PauseSome,
         &Soak::KillSome, &Soak::StoreConnectionsGoDark, &Soak::StoreForgets,
         &Soak::NameLimit, &Soak::LimitService, &Soak::Leave,
         &Soak::StoreRestores},
        100,
        1600};
    return seed % 2 == 0 ? kMixed : kPartial;
  }

  void InjectNextFault() {
    const TimePoint now = BootClock::now();
    if (now >= m_faults_end) return;
    const std::vector<Fault>& faults = m_profile->faults;
    const int fault = RandomInt(0, static_cast<int>(faults.size()) - 1);
    (this->*faults[fault])(RandomInt(0, static_cast<int>(m_nodes.size()) - 1),
                           now);
    m_loop.Schedule(now + milliseconds(RandomInt(m_profile->min_pause_ms,
                                                 m_profile->max_pause_ms)),
                    [this](TimePoint) { InjectNextFault(); });
  }

  // Extends the period in which nodes may have outdated fleet state.
  void ExtendUnsettledPeriod(TimePoint until) {
    m_settled_at = std::max(m_settled_at, until + seconds(4));
  }

  // The node has a disturbance of its own until then.
  void Disturb(size_t index, TimePoint until) {
    TimePoint& settled_at = m_nodes[index].settled_at;
    settled_at = std::max(settled_at, until + kStableTime);
  }
  void DisturbAll(TimePoint until) {
    for (size_t i = 0; i < m_nodes.size(); ++i) Disturb(i, until);
  }
  // Judges nothing by times that this process may have got wrong.
  void CheckLag(TimePoint due) {
    const TimePoint now = BootClock::now();
    if (now - due > kMaxLag) {
      DisturbAll(now);
      m_notices.ForgetArrivals();
      for (size_t i = 0; i < m_nodes.size(); ++i) m_notices.Excuse(i);
    }
    m_loop.Schedule(now + kLagCheckPeriod, [this, now](TimePoint) {
      CheckLag(now + kLagCheckPeriod);
    });
  }

  void Signal(size_t index, int signal) {
    if (m_nodes[index].pid > 0) kill(m_nodes[index].pid, signal);
  }

  void Kill(size_t index, TimePoint now) {
    LogEvent(absl::StrFormat("kill %d", static_cast<int>(index)));
    m_notices.Excuse(index);
    Disturb(index, now);
    ExtendUnsettledPeriod(now);
    Signal(index, SIGKILL);
  }
  void Terminate(size_t index, TimePoint now) {
    LogEvent(absl::StrFormat("terminate %d", static_cast<int>(index)));
    m_notices.Excuse(index);
    Disturb(index, now + seconds(6));
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
    m_notices.Excuse(index);
    Disturb(index, now + length);
    ExtendUnsettledPeriod(now + length);
    Signal(index, SIGSTOP);
    m_loop.Schedule(now + length, [this, index](TimePoint) {
      m_notices.Excuse(index);
      Signal(index, SIGCONT);
    });
  }
  void Reset(size_t index, TimePoint now) {
    LogEvent(absl::StrFormat("reset %d", static_cast<int>(index)));
    m_notices.Excuse(index);
    Disturb(index, now);
    ExtendUnsettledPeriod(now);
    m_nodes[index].network->Reset();
  }
  void Silence(size_t index, TimePoint now) {
    LogEvent(absl::StrFormat("silence %d", static_cast<int>(index)));
    m_notices.Excuse(index);
    Disturb(index, now);
    ExtendUnsettledPeriod(now);
    m_nodes[index].network->DropTraffic();
  }
  void StoreDown(size_t, TimePoint now) {
    const Duration length = milliseconds(RandomInt(200, 6000));
    const SoakStore::Service service = DrawStoreFault();
    LogEvent(absl::StrFormat("store down (%d) for %.1f s",
                             static_cast<int>(service),
                             std::chrono::duration<double>(length).count()));
    ExtendUnsettledPeriod(now + length);
    m_store_down_until = std::max(m_store_down_until, now + length);
    for (size_t i = 0; i < m_nodes.size(); ++i) {
      FailStoreFor(i, service, now + length);
    }
  }
  // The store fails for some nodes, often for those that read it, and serves
  // the others.
  void StoreTurnsAway(size_t index, TimePoint now) {
    const Duration length = milliseconds(RandomInt(500, 7500));
    const SoakStore::Service service = DrawStoreFault();
    std::string names;
    for (const size_t node : DrawNodes(index)) {
      names += " " + std::to_string(node);
      FailStoreFor(node, service, now + length);
    }
    ExtendUnsettledPeriod(now + length);
    LogEvent(absl::StrFormat("store fails (%d) for%s for %.1f s",
                             static_cast<int>(service), names,
                             std::chrono::duration<double>(length).count()));
  }
  void PauseSome(size_t index, TimePoint now) {
    for (const size_t node : DrawNodes(index)) Pause(node, now);
  }
  void KillSome(size_t index, TimePoint now) {
    for (const size_t node : DrawNodes(index)) Kill(node, now);
  }
  // Some nodes, often those that read the store.
  std::vector<size_t> DrawNodes(size_t index) {
    const int most = std::min<int>(5, static_cast<int>(m_nodes.size()) / 2);
    std::vector<size_t> nodes = m_store.TakeNodesByCalls();
    if (RandomInt(0, 2) == 0) nodes.insert(nodes.begin(), index);
    nodes.resize(RandomInt(1, most));
    return nodes;
  }
  // A change is made while watches bring nothing, as the platform does it.
  void StoreForgets(size_t index, TimePoint now) {
    LogEvent("store forgets its history");
    Change(index, now);
    m_store.ForgetHistory();
  }
  // The store is away for a moment and comes back from a copy. What the
  // operator and the servers wrote is written again.
  void StoreRestores(size_t, TimePoint now) {
    const Duration away =
        milliseconds(RandomInt(0, RandomInt(0, 2) == 0 ? 2500 : 500));
    const Duration age = milliseconds(RandomInt(0, 9000));
    const uint64_t copy = m_store.RevisionAt(now - age);
    // Another writer uses up revisions, so that later ones stay below what
    // nodes knew.
    for (int i = 0; i < kLostWrites; ++i) m_store.Put("other/key", "x", now);
    LogEvent(absl::StrFormat(
        "store away for %.1f s, then back from a copy of %.1f s before (%d of "
        "%d)",
        std::chrono::duration<double>(away).count(),
        std::chrono::duration<double>(age).count(), static_cast<int>(copy),
        static_cast<int>(m_store.revision())));
    const TimePoint back = now + away;
    ExtendUnsettledPeriod(back);
    m_store_down_until = std::max(m_store_down_until, back);
    for (size_t i = 0; i < m_nodes.size(); ++i) {
      FailStoreFor(i, DrawStoreFault(), back);
    }
    m_loop.Schedule(back, [this, copy](TimePoint later) {
      // Another restore may have come first.
      m_store.Restore(std::min(copy, m_store.revision()));
      m_loop.Schedule(
          later + milliseconds(RandomInt(0, 1000)),
          [this](TimePoint t) { m_store.Put("op/config", m_config, t); });
      for (size_t i = 0; i < m_nodes.size(); ++i) {
        m_loop.Schedule(later + milliseconds(RandomInt(0, 1900)),
                        [this, i](TimePoint t) { PublishServer(i, t); });
      }
    });
  }
  void StoreConnectionsGoDark(size_t index, TimePoint now) {
    LogEvent(absl::StrFormat("store connections of %d go dark",
                             static_cast<int>(index)));
    Disturb(index, now);
    ExtendUnsettledPeriod(now);
    m_store.SilenceConnections(index);
  }
  SoakStore::Service DrawStoreFault() {
    using Service = SoakStore::Service;
    static constexpr Service kFaults[] = {
        Service::kSilent,  Service::kSilent, Service::kBusy, Service::kSilent,
        Service::kTooMany, Service::kResets, Service::kSlow};
    return kFaults[RandomInt(0, std::size(kFaults) - 1)];
  }
  void FailStoreFor(size_t index, SoakStore::Service service, TimePoint end) {
    Node& node = m_nodes[index];
    node.store_fault_end = std::max(node.store_fault_end, end);
    Disturb(index, node.store_fault_end);
    m_store.SetService(index, service);
    m_loop.Schedule(end, [this, index](TimePoint later) {
      if (later < m_nodes[index].store_fault_end) return;
      m_store.SetService(index, SoakStore::Service::kServes);
    });
  }
  void Change(size_t, TimePoint now) {
    if (now < m_store_down_until) return;
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
    if (now < m_store_down_until || (!node.is_draining && others < 2)) return;
    node.is_draining = !node.is_draining;
    node.drain_acknowledged = now;
    LogEvent(absl::StrFormat("%s %d", node.is_draining ? "drain" : "undrain",
                             static_cast<int>(index)));
    PublishServer(index, now);
  }

  // A server names a limit, or a value that is none, for some time.
  void NameLimit(size_t index, TimePoint now) {
    static constexpr const char* kLimits[] = {"0",  "0.5", "2",  "2",  "5",
                                              "20", "nan", "-3", "inf"};
    const std::string value = kLimits[RandomInt(0, std::size(kLimits) - 1)];
    const Duration length = milliseconds(RandomInt(2000, 16000));
    LogEvent(absl::StrFormat("server %d names the limit %s for %.1f s",
                             static_cast<int>(index), value,
                             std::chrono::duration<double>(length).count()));
    m_notices.SetLimit(index, value, now);
    m_loop.Schedule(now + length, [this, index](TimePoint later) {
      m_notices.SetLimit(index, "", later);
    });
  }
  void LimitService(size_t index, TimePoint now) {
    for (const Node& node : m_nodes) {
      if (node.service == m_nodes[index].service) NameLimit(node.index, now);
    }
  }
  // A server says that it leaves, while the list has it as ready, and starts
  // again under its ID.
  void Leave(size_t index, TimePoint now) {
    size_t others = 0;
    for (const Node& other : m_nodes) {
      const bool stays =
          !other.is_draining && !m_notices.IsLeaving(other.index);
      others += stays && other.service == m_nodes[index].service ? 1 : 0;
    }
    if (others < 2 || m_notices.IsLeaving(index)) return;
    LogEvent(absl::StrFormat("server %d leaves", static_cast<int>(index)));
    m_notices.SetLeaving(index, true);
    m_loop.Schedule(
        now + milliseconds(RandomInt(500, 9000)),
        [this, index](TimePoint later) { ReturnServer(index, later); });
  }
  void ReturnServer(size_t index, TimePoint now) {
    if (!m_notices.IsLeaving(index)) return;
    LogEvent(
        absl::StrFormat("server %d starts again", static_cast<int>(index)));
    m_notices.SetLeaving(index, false);
    ++m_nodes[index].server_run;
    PublishServer(index, now);
  }
  void EndNotices(TimePoint now) {
    for (size_t i = 0; i < m_nodes.size(); ++i) {
      m_notices.SetLimit(i, "", now);
      ReturnServer(i, now);
    }
  }

  // After the faults, every node must serve with the latest version.
  void CheckSettled(TimePoint now) {
    auto left = std::make_shared<size_t>(m_nodes.size());
    for (size_t i = 0; i < m_nodes.size(); ++i) {
      Send(i, "/move/end", false, [this, i, left](const FakeCall& call) {
        const HttpResponse& answer = call.result.response;
        // A server randomly fails one request in twenty.
        if (answer.status != 200 && answer.status != 500) {
          ReportViolation(absl::StrFormat("node %d does not serve: %d",
                                          static_cast<int>(i), answer.status));
        }
        if (answer.status == 200 &&
            answer.headers.Find("Served-By") != kServices[m_version % 2]) {
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

  const Profile* m_profile;
  EventLoop m_loop;
  boost::random::mt19937_64 m_random;
  const Duration m_length;
  std::string m_program;
  std::string m_directory;
  uint16_t m_peer_port = 0;
  SoakStore m_store;
  ConfigHistory m_history;
  // The value of the newest version.
  std::string m_config;
  NoticeAudit m_notices;
  int m_version = 0;
  TimePoint m_store_down_until;
  std::vector<Node> m_nodes;
  TimePoint m_start;
  TimePoint m_faults_end;
  TimePoint m_settled_at;
  size_t m_calls = 0;
  size_t m_answered = 0;
  size_t m_unanswered = 0;
  size_t m_judged = 0;
  size_t m_violations = 0;
  std::map<std::string, int> m_executions;
  std::set<std::string> m_refused;
  // The node that each request was sent to, and when.
  struct Origin {
    size_t node = 0;
    TimePoint at;
  };
  std::map<std::string, Origin> m_origins;
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
                           static_cast<size_t>(argument(3, 6)),
                           argc > 4 ? argv[4] : VTADAPTER);
  return soak.Run() == 0 ? 0 : 1;
}
