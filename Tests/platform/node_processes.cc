#include "node_processes.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

#include "absl/strings/str_format.h"

namespace vanillatiller {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kSamplePeriod = milliseconds(5);
constexpr Duration kStartTimeout = seconds(20);
constexpr int kDeadlineMs = 8000;
constexpr const char* kServices[] = {"alpha", "beta"};

std::string ServerId(size_t node) { return "i-" + std::to_string(node); }

}  // namespace

// Backend server of a node.
class NodeProcesses::Server : public HttpRequestHandler {
 public:
  Server(EventLoop* loop, size_t node)
      : address{SoakIp(1, node), FreeLoopbackPort()}, m_loop(loop) {
    std::string reason;
    m_listener = TcpListener::Listen(
        loop, address,
        [this](std::shared_ptr<TcpConnection> connection, TimePoint now) {
          HttpServerSession::Start(m_loop, std::move(connection), this, {},
                                   now);
        },
        &reason);
    if (!m_listener) throw std::runtime_error(reason);
  }

  void OnRequest(const HttpResponderPtr& responder, HttpRequest request,
                 TimePoint now) override {
    const std::string id(request.headers.Find("Request-Id").value_or(""));
    ++runs[id];
    received_bytes[id] = request.body.size();
    HttpResponse response{200, {}, "served"};
    const size_t bytes = request.target.rfind("/bytes/");
    if (bytes != std::string::npos) {
      response.body.assign(
          std::strtoul(request.target.c_str() + bytes + 7, nullptr, 10), 'a');
    }
    response.headers.Add("Request-Id", id);
    response.headers.Add("Response-Signature", "s-" + id);
    responder->Respond(std::move(response), now);
  }
  void OnCallerDisconnected(const HttpResponderPtr&, TimePoint) override {}

  const SocketAddress address;
  std::map<std::string, int> runs;
  std::map<std::string, size_t> received_bytes;

 private:
  EventLoop* m_loop;
  std::unique_ptr<TcpListener> m_listener;
};

NodeProcesses::NodeProcesses(std::string program, const TestLimits& limits)
    : m_program(std::move(program)),
      m_limits(limits),
      m_store(&loop, kNodes),
      m_nodes(kNodes) {
  char directory[] = "/tmp/node-processes-XXXXXX";
  m_directory = mkdtemp(directory);
  const uint16_t peer_port = FreeLoopbackPort();
  for (size_t i = 0; i < kNodes; ++i) {
    m_nodes[i].caller_listener = {SoakIp(1, i), FreeLoopbackPort()};
    m_nodes[i].peer_listener = {SoakIp(1, i), peer_port};
    m_nodes[i].health_listener = {SoakIp(1, i), FreeLoopbackPort()};
    m_servers.push_back(std::make_unique<Server>(&loop, i));
  }
  PublishState(limits);
  for (size_t i = 0; i < kNodes; ++i) Start(i);
  Sample();
}

NodeProcesses::~NodeProcesses() {
  for (const Node& node : m_nodes) {
    if (node.pid <= 0) continue;
    kill(node.pid, SIGKILL);
    waitpid(node.pid, nullptr, 0);
  }
  std::error_code ignored;
  std::filesystem::remove_all(m_directory, ignored);
}

void NodeProcesses::PublishState(const TestLimits& limits) {
  const auto rule = [](const char* name, const char* type) {
    return absl::StrFormat(
        R"({"name":"%s","type":"%s","target_latency_ms":500,"priority":1,)"
        R"("match":{"prefix":"/%s/"},"action":{"service":"beta",)"
        R"("timeout_ms":%d,"max_attempts":2}})",
        name, type, name, kDeadlineMs);
  };
  const TimePoint now = BootClock::now();
  m_store.Put(
      "op/config",
      absl::StrFormat(R"({"version":1,"limits":{"max_header_bytes":16384,)"
                      R"("max_body_bytes":%d,"header_timeout_ms":3000,)"
                      R"("idle_timeout_ms":15000},"listeners":[{"host":"test",)"
                      R"("rules":[%s,%s]}],"clusters":[]})",
                      limits.max_body_bytes, rule("many", "safe"),
                      rule("once", "unsafe")),
      now);
  for (size_t i = 0; i < kNodes; ++i) {
    m_store.Put(
        "servers/" + ServerId(i),
        absl::StrFormat(
            R"({"address":"%s","born":1700000000000,"info":{"service":"%s",)"
            R"("version":"v","zone":"z","slots":16},"status":{"state":)"
            R"("ready","sequence":1,"warmup_remaining_ms":0}})",
            m_servers[i]->address.ToString(), kServices[i]),
        now);
  }
}

void NodeProcesses::Start(size_t index) {
  Node& node = m_nodes[index];
  const std::string path = m_directory + "/" + std::to_string(index) + ".toml";
  std::ofstream(path) << absl::StrFormat(
      "node_name = \"vm-%d\"\nip = \"%s\"\nzone = \"z\"\nservice = \"%s\"\n"
      "app_addr = \"%s\"\nheartbeat_ms = 60000\n"
      "bounds = [\"grace_s=6\", \"retry_budget_ratio=0.2\"]\n"
      "[zones]\nz = \"r\"\n[listen]\ninbound = \"%s\"\noutbound = \"%s\"\n"
      "ready = \"%s\"\n[limits]\nmemory_mb = %d\nmax_fds = %d\n[platform]\n"
      "address = \"%s\"\n",
      index, node.caller_listener.ip, kServices[index],
      m_servers[index]->address.ToString(), node.peer_listener.ToString(),
      node.caller_listener.ToString(), node.health_listener.ToString(),
      m_limits.memory_mb, m_limits.max_fds, m_store.EntryOf(index).ToString());
  const std::string variable = "VANILLATILLER_NODE_FILE=" + path;
  char* environment[] = {const_cast<char*>(variable.c_str()), nullptr};
  char* arguments[] = {const_cast<char*>(m_program.c_str()), nullptr};
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  const std::string log = path + ".log";
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  if (posix_spawn(&node.pid, m_program.c_str(), &actions, nullptr, arguments,
                  environment) != 0) {
    throw std::runtime_error("cannot start " + m_program);
  }
  posix_spawn_file_actions_destroy(&actions);
}

bool NodeProcesses::RunUntil(const std::function<bool()>& done, Duration time) {
  bool is_done = false;
  const TimePoint end = BootClock::now() + time;
  std::function<void(TimePoint)> poll = [&](TimePoint now) {
    is_done = done();
    if (is_done || now >= end) {
      loop.Stop();
      return;
    }
    loop.Schedule(now + milliseconds(2), poll);
  };
  loop.Schedule(BootClock::now(), poll);
  loop.Run();
  return is_done;
}

bool NodeProcesses::RunUntilServing() {
  for (size_t i = 0; i < kNodes; ++i) {
    if (Request(i, "GET", "/many/first", "", kStartTimeout) != 200) {
      return false;
    }
  }
  return true;
}

std::string NodeProcesses::RequestStart(const std::string& method,
                                        const std::string& path,
                                        const std::string& id) {
  return absl::StrFormat(
      "%s %s HTTP/1.1\r\nHost: test\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n",
      method, path, id, kDeadlineMs);
}

int NodeProcesses::Request(size_t node, const std::string& method,
                           const std::string& path, std::string_view body,
                           Duration time) {
  const TimePoint end = BootClock::now() + time;
  while (true) {
    HttpRequest request{method, path, {}, std::string(body)};
    request.headers.Add("Host", "test");
    request.headers.Add("Request-Id",
                        "ordinary-" + std::to_string(++m_requests));
    request.headers.Add("Deadline-Ms", std::to_string(kDeadlineMs));
    FakeCall call;
    call.session = std::make_shared<HttpClientSession>(
        &loop, m_nodes[node].caller_listener, "");
    call.session->Send(
        request,
        [&call](ExchangeResult result, TimePoint) {
          call.is_over = true;
          call.result = std::move(result);
        },
        BootClock::now());
    RunUntil([&call] { return call.is_over; }, end - BootClock::now());
    call.session->Abort();
    const HttpResponse& response = call.result.response;
    const bool is_answered =
        call.is_over && call.result.end == ExchangeEnd::kAnswered;
    const auto retry_after = response.headers.Find("Retry-After");
    if (is_answered && !retry_after) return response.status;
    if (BootClock::now() >= end) return is_answered ? response.status : 0;
    const double wait =
        retry_after ? std::strtod(std::string(*retry_after).c_str(), nullptr)
                    : 0.05;
    RunUntil([] { return false; }, std::chrono::duration_cast<Duration>(
                                       std::chrono::duration<double>(wait)));
  }
}

bool NodeProcesses::IsRunning(size_t node) {
  return waitpid(m_nodes[node].pid, nullptr, WNOHANG) == 0;
}

double NodeProcesses::MemoryMb(size_t node) const {
  std::ifstream status("/proc/" + std::to_string(m_nodes[node].pid) +
                       "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("RssAnon:")) {
      return std::strtod(line.c_str() + 8, nullptr) * 1024 / 1e6;
    }
  }
  return 0;
}

void NodeProcesses::Sample() {
  for (size_t i = 0; i < kNodes; ++i) {
    Node& node = m_nodes[i];
    node.peak_mb = std::max(node.peak_mb, MemoryMb(i));
    std::error_code gone;
    size_t descriptors = 0;
    for ([[maybe_unused]] const auto& entry :
         std::filesystem::directory_iterator(
             "/proc/" + std::to_string(node.pid) + "/fd", gone)) {
      ++descriptors;
    }
    node.peak_fds = std::max(node.peak_fds, descriptors);
  }
  loop.Schedule(BootClock::now() + kSamplePeriod,
                [this](TimePoint) { Sample(); });
}

double NodeProcesses::Metric(size_t node, const std::string& name) {
  FakeCall call;
  call.session = std::make_shared<HttpClientSession>(
      &loop, m_nodes[node].health_listener, "");
  call.session->Send(
      {"GET", "/metrics", {}, ""},
      [&call](ExchangeResult result, TimePoint) {
        call.is_over = true;
        call.result = std::move(result);
      },
      BootClock::now());
  RunUntil([&call] { return call.is_over; }, seconds(5));
  call.session->Abort();
  std::istringstream lines(call.result.response.body);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(name + " ")) {
      return std::strtod(line.c_str() + name.size(), nullptr);
    }
  }
  return -1;
}

std::string NodeProcesses::Log(size_t node) const {
  std::ifstream file(m_directory + "/" + std::to_string(node) + ".toml.log");
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

int NodeProcesses::Runs(const std::string& id) const {
  int runs = 0;
  for (const auto& server : m_servers) {
    const auto found = server->runs.find(id);
    if (found != server->runs.end()) runs += found->second;
  }
  return runs;
}

size_t NodeProcesses::ReceivedBytes(const std::string& id) const {
  for (const auto& server : m_servers) {
    const auto found = server->received_bytes.find(id);
    if (found != server->received_bytes.end()) return found->second;
  }
  return 0;
}

}  // namespace vanillatiller
