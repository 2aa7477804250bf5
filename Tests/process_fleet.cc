#include "process_fleet.h"

#include <arpa/inet.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <thread>
#include <utility>

extern char** environ;

namespace vanillatiller {
namespace {

constexpr std::chrono::milliseconds kPollInterval{20};

// Returns a currently free port that this process has not allocated before.
int AllocatePort() {
  static std::set<int> allocated;
  while (true) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), length) != 0) {
      close(fd);
      continue;
    }
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
    close(fd);
    const int port = ntohs(address.sin_port);
    if (allocated.insert(port).second) return port;
  }
}

pid_t Spawn(std::vector<std::string> arguments) {
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (std::string& argument : arguments) argv.push_back(argument.data());
  argv.push_back(nullptr);
  pid_t pid = -1;
  posix_spawn(&pid, argv[0], nullptr, nullptr, argv.data(), environ);
  return pid;
}

void KillAndReap(pid_t pid) {
  if (pid <= 0) return;
  kill(pid, SIGKILL);
  waitpid(pid, nullptr, 0);
}

}  // namespace

ProcessFleet::ProcessFleet(std::string_view config,
                           std::vector<ServerSpec> servers) {
  std::string name =
      (std::filesystem::temp_directory_path() / "vanillatiller-XXXXXX")
          .string();
  m_directory = mkdtemp(name.data());
  for (ServerSpec& spec : servers) {
    Server server;
    server.spec = std::move(spec);
    for (int* port :
         {&server.public_port, &server.local_port, &server.peer_port,
          &server.admin_port, &server.backend_port, &server.relay_port,
          &server.relay_control_port}) {
      *port = AllocatePort();
    }
    m_servers.push_back(std::move(server));
  }
  m_platform_port = AllocatePort();
  m_platform_pid =
      Spawn({VT_STUB_BINARY, "--mode=platform",
             "--port=" + std::to_string(m_platform_port),
             "--config=" + WriteFile("config.toml", std::string(config)),
             "--vms=" + WriteFile("vms.json", VmListJson())});
  for (size_t i = 0; i < m_servers.size(); ++i) {
    StartStub(m_servers[i]);
    StartRelay(m_servers[i]);
    StartNode(i);
  }
}

ProcessFleet::~ProcessFleet() {
  for (const Server& server : m_servers) {
    KillAndReap(server.node_pid);
    KillAndReap(server.stub_pid);
    KillAndReap(server.relay_pid);
  }
  KillAndReap(m_platform_pid);
  std::filesystem::remove_all(m_directory);
}

bool ProcessFleet::WaitUntilReady(std::chrono::seconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  for (const Server& server : m_servers) {
    while (true) {
      const auto status = nlohmann::json::parse(
          Get(server.admin_port, "/status"), nullptr, false);
      if (status.is_object() && status.value("config_version", 0) > 0 &&
          status.value("members", size_t{0}) >= m_servers.size() &&
          !Get(server.backend_port, "/health").empty()) {
        break;
      }
      if (std::chrono::steady_clock::now() > deadline) return false;
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  return true;
}

void ProcessFleet::StartNode(size_t index) {
  Server& server = m_servers[index];
  const auto address = [](int port) {
    return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
  };
  std::ostringstream text;
  text << "[node]\nvm = \"" << server.spec.vm << "\"\nservice = \""
       << server.spec.service << "\"\nregion = \"" << server.spec.region
       << "\"\nfailure_domain = \"" << server.spec.failure_domain << "\"\n"
       << "[listeners]\npublic = " << address(server.public_port)
       << "local = " << address(server.local_port)
       << "peer = " << address(server.peer_port)
       << "admin = " << address(server.admin_port)
       << (server.spec.behind_relay
               ? "advertised_peer = " + address(server.relay_port)
               : "")
       << "[backend]\naddress = " << address(server.backend_port)
       << "[platform]\naddress = " << address(m_platform_port)
       << server.spec.extra_settings;
  const std::string path = WriteFile(server.spec.vm + ".toml", text.str());
  server.node_pid = Spawn({VT_NODE_BINARY, "--settings=" + path});
}

void ProcessFleet::SignalNode(size_t index, int signal) {
  const pid_t node = m_servers[index].node_pid;
  kill(node, signal);
  if (signal != SIGSTOP) return;
  // SIGSTOP takes effect asynchronously: each thread runs on until the
  // scheduler stops it.
  const auto sent_at = std::chrono::steady_clock::now();
  siginfo_t stopped;
  BOOST_TEST_REQUIRE(waitid(P_PID, node, &stopped, WSTOPPED) == 0);
  const std::chrono::duration<double, std::milli> elapsed =
      std::chrono::steady_clock::now() - sent_at;
  BOOST_TEST_MESSAGE("node stopped after " << elapsed.count() << " ms");
}

int ProcessFleet::WaitForNodeExit(size_t index, std::chrono::seconds timeout) {
  Server& server = m_servers[index];
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  int status = 0;
  while (waitpid(server.node_pid, &status, WNOHANG) != server.node_pid) {
    if (std::chrono::steady_clock::now() > deadline) return -1;
    std::this_thread::sleep_for(kPollInterval);
  }
  server.node_pid = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

httplib::Result ProcessFleet::Post(size_t index, const std::string& path,
                                   const httplib::Headers& headers,
                                   const std::string& body) const {
  httplib::Client client("127.0.0.1", m_servers[index].public_port);
  client.set_read_timeout(std::chrono::seconds(30));
  return client.Post(path, headers, body, "application/json");
}

std::string ProcessFleet::Get(int port, const std::string& path) {
  httplib::Client client("127.0.0.1", port);
  const auto result = client.Get(path);
  return result ? result->body : std::string();
}

bool ProcessFleet::PostControl(int port, const std::string& path,
                               const std::string& body) {
  httplib::Client client("127.0.0.1", port);
  const auto result = client.Post(path, body, "application/json");
  return result && result->status == 200;
}

std::string ProcessFleet::WriteFile(const std::string& name,
                                    const std::string& text) {
  std::string path = m_directory + "/" + name;
  std::ofstream(path) << text;
  return path;
}

std::string ProcessFleet::VmListJson() const {
  nlohmann::json list = nlohmann::json::array();
  for (const Server& server : m_servers) {
    const int port =
        server.spec.behind_relay ? server.relay_port : server.peer_port;
    list.push_back({{"vm", server.spec.vm},
                    {"service", server.spec.service},
                    {"peer_address", "127.0.0.1:" + std::to_string(port)},
                    {"failure_domain", server.spec.failure_domain},
                    {"region", server.spec.region},
                    {"state", "live"}});
  }
  return list.dump();
}

void ProcessFleet::StartStub(Server& server) {
  std::vector<std::string> arguments = {
      VT_STUB_BINARY, "--port=" + std::to_string(server.backend_port),
      "--name=" + server.spec.vm,
      "--node_port=" + std::to_string(server.local_port)};
  arguments.insert(arguments.end(), server.spec.stub_flags.begin(),
                   server.spec.stub_flags.end());
  server.stub_pid = Spawn(std::move(arguments));
}

void ProcessFleet::StartRelay(Server& server) {
  if (!server.spec.behind_relay) return;
  server.relay_pid =
      Spawn({VT_STUB_BINARY, "--mode=relay",
             "--port=" + std::to_string(server.relay_control_port),
             "--listen_port=" + std::to_string(server.relay_port),
             "--target_port=" + std::to_string(server.peer_port)});
}

}  // namespace vanillatiller
