#include "harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <memory>
#include <sstream>
#include <thread>

namespace review {
namespace {

const auto start_time = std::chrono::steady_clock::now();
std::FILE* record_file = nullptr;
std::mutex record_mutex;

sockaddr_in SocketAddressOf(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

std::string Base64(const std::string& text) {
  static const char* digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  size_t i = 0;
  for (; i + 2 < text.size(); i += 3) {
    const uint32_t bits = (uint8_t(text[i]) << 16) |
                          (uint8_t(text[i + 1]) << 8) | uint8_t(text[i + 2]);
    for (int shift = 18; shift >= 0; shift -= 6) {
      out += digits[(bits >> shift) & 63];
    }
  }
  if (i + 1 == text.size()) {
    const uint32_t bits = uint8_t(text[i]) << 16;
    out += digits[bits >> 18];
    out += digits[(bits >> 12) & 63];
    out += "==";
  } else if (i + 2 == text.size()) {
    const uint32_t bits = (uint8_t(text[i]) << 16) | (uint8_t(text[i + 1]) << 8);
    out += digits[bits >> 18];
    out += digits[(bits >> 12) & 63];
    out += digits[(bits >> 6) & 63];
    out += '=';
  }
  return out;
}

std::string QueryValue(const std::string& target, const std::string& name) {
  const size_t query = target.find('?');
  if (query == std::string::npos) return "";
  std::stringstream parts(target.substr(query + 1));
  std::string part;
  while (std::getline(parts, part, '&')) {
    if (part.rfind(name + "=", 0) == 0) return part.substr(name.size() + 1);
  }
  return "";
}

uint64_t QueryNumber(const std::string& target, const std::string& name) {
  const std::string value = QueryValue(target, name);
  return value.empty() ? 0 : std::strtoull(value.c_str(), nullptr, 10);
}

uint16_t FreePort() {
  const int fd = ListenAt({"127.0.0.1", 0});
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &size);
  close(fd);
  return ntohs(bound.sin_port);
}

}  // namespace

double Now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       start_time)
      .count();
}

void SleepMs(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void OpenRecord(const std::string& directory) {
  signal(SIGPIPE, SIG_IGN);
  record_file = std::fopen((directory + "/record.txt").c_str(), "w");
  if (record_file == nullptr) std::exit(2);
  Record(Trouble() ? "with the disruption" : "without the disruption");
}

void Record(const std::string& line) {
  const std::lock_guard<std::mutex> lock(record_mutex);
  std::fprintf(record_file, "%8.3f %s\n", Now(), line.c_str());
  std::fflush(record_file);
}

bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

void CannotRun(const std::string& why) {
  Record("could not run: " + why);
  std::fprintf(stderr, "could not run: %s\n", why.c_str());
  // The nodes end with this process.
  _exit(2);
}

int ListenAt(const Address& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in bound = SocketAddressOf(address);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&bound), sizeof(bound)) != 0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

int ConnectTo(const Address& address, int receive_buffer_bytes,
              int segment_bytes) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (segment_bytes > 0) {
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes,
               sizeof(segment_bytes));
  }
  if (receive_buffer_bytes > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
               sizeof(receive_buffer_bytes));
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const sockaddr_in target = SocketAddressOf(address);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&target),
              sizeof(target)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

bool SendAll(int fd, const std::string& data) {
  size_t sent = 0;
  while (sent < data.size()) {
    const ssize_t count = send(fd, data.data() + sent, data.size() - sent, 0);
    if (count <= 0) return false;
    sent += static_cast<size_t>(count);
  }
  return true;
}

void ServeConnections(int listener, std::function<void(int fd)> serve) {
  std::thread([listener, serve] {
    while (true) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) return;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([fd, serve] { serve(fd); }).detach();
    }
  }).detach();
}

int Message::Status() const {
  return start_line.size() > 12 ? std::atoi(start_line.c_str() + 9) : 0;
}

std::string Message::Method() const {
  return start_line.substr(0, start_line.find(' '));
}

std::string Message::Target() const {
  const size_t begin = start_line.find(' ') + 1;
  return start_line.substr(begin, start_line.find(' ', begin) - begin);
}

std::string Message::Header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? "" : found->second;
}

bool MessageReader::Fill() {
  char buffer[65536];
  const ssize_t count = recv(m_fd, buffer, sizeof(buffer), 0);
  if (count < 0) was_reset = true;
  if (count <= 0) return false;
  received += static_cast<size_t>(count);
  m_data.append(buffer, static_cast<size_t>(count));
  return true;
}

std::optional<Message> MessageReader::Next() {
  size_t end = 0;
  while ((end = m_data.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill()) return std::nullopt;
  }
  Message message;
  std::stringstream lines(m_data.substr(0, end));
  std::string line;
  std::getline(lines, line);
  if (!line.empty() && line.back() == '\r') line.pop_back();
  message.start_line = line;
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    const size_t value = line.find_first_not_of(' ', colon + 1);
    message.headers[name] =
        value == std::string::npos ? "" : line.substr(value);
  }
  m_data.erase(0, end + 4);
  const size_t length =
      std::strtoull(message.Header("content-length").c_str(), nullptr, 10);
  while (m_data.size() < length) {
    if (!Fill()) return std::nullopt;
  }
  message.body = m_data.substr(0, length);
  m_data.erase(0, length);
  return message;
}

void Store::ListenAtAddress(const Address& address) {
  const int listener = ListenAt(address);
  if (listener < 0) CannotRun("store cannot listen");
  ServeConnections(listener, [this](int fd) { Serve(fd); });
}

bool Store::IsWatched(const std::string& ip) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_watches[ip] > 0;
}

void Store::TurnAway(const std::string& ip) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_turned_away[ip] = true;
}

void Store::ServeAgain(const std::string& ip) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_turned_away[ip] = false;
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_items[key] = {value, ++m_revision};
  m_events.push_back({key, value, m_revision, false});
  m_changed.notify_all();
}

void Store::Remove(const std::string& key) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_items.erase(key);
  m_events.push_back({key, "", ++m_revision, true});
  m_changed.notify_all();
}

std::string Store::Answer(const Message& request, const std::string& ip,
                          int* status) {
  const std::string target = request.Target();
  std::unique_lock<std::mutex> lock(m_mutex);
  const auto format = [](const std::string& key, const std::string& value,
                         uint64_t revision) {
    return "{\"key\":\"" + key + "\",\"value\":\"" + Base64(value) +
           "\",\"revision\":" + std::to_string(revision) +
           ",\"created_rev\":" + std::to_string(revision) + ",\"lease\":0";
  };
  *status = 200;
  if (target.rfind("/-/kv-key", 0) == 0) {
    const auto found = m_items.find(QueryValue(target, "key"));
    if (found == m_items.end()) {
      *status = 404;
      return "{\"current_rev\":" + std::to_string(m_revision) + "}";
    }
    return format(found->first, found->second.value, found->second.revision) +
           ",\"current_rev\":" + std::to_string(m_revision) + "}";
  }
  if (target.rfind("/-/kv-range", 0) == 0) {
    const std::string prefix = QueryValue(target, "prefix");
    std::string list;
    for (const auto& [key, item] : m_items) {
      if (key.rfind(prefix, 0) != 0) continue;
      list += (list.empty() ? "" : ",") + format(key, item.value, item.revision) +
              "}";
    }
    return "{\"items\":[" + list + "],\"more_pages\":false,\"current_rev\":" +
           std::to_string(m_revision) + "}";
  }
  const uint64_t after = QueryNumber(target, "after");
  const uint64_t wait_ms = QueryNumber(target, "wait_ms");
  ++m_watches[ip];
  m_changed.wait_for(lock, std::chrono::milliseconds(wait_ms),
                     [&] { return m_revision > after; });
  --m_watches[ip];
  std::string list;
  for (const Event& event : m_events) {
    if (event.revision <= after) continue;
    list += list.empty() ? "" : ",";
    list += event.removed ? "{\"key\":\"" + event.key + "\",\"revision\":" +
                                std::to_string(event.revision) +
                                ",\"removed\":true}"
                          : format(event.key, event.value, event.revision) + "}";
  }
  return "{\"events\":[" + list +
         "],\"current_rev\":" + std::to_string(m_revision) + "}";
}

void Store::Serve(int fd) {
  sockaddr_in own{};
  socklen_t size = sizeof(own);
  getsockname(fd, reinterpret_cast<sockaddr*>(&own), &size);
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &own.sin_addr, text, sizeof(text));
  const std::string ip = text;
  MessageReader reader(fd);
  bool is_silent = false;
  while (const auto request = reader.Next()) {
    int status = 200;
    const std::string body = Answer(*request, ip, &status);
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      is_silent = is_silent || m_turned_away[ip];
    }
    // A connection on which an answer was lost gives no further ones.
    if (is_silent) continue;
    if (!SendAll(fd, "HTTP/1.1 " + std::to_string(status) +
                         " OK\r\nContent-Type: application/json\r\n"
                         "Content-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body)) {
      break;
    }
  }
  close(fd);
}

void RunLog::Begin(const std::string& id, const std::string& server) {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_runs.push_back({id, server, Now(), 0});
  }
  Record("server " + server + " begins to work on " + id);
}

void RunLog::End(const std::string& id) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (Run& run : m_runs) {
    if (run.id == id && run.ended == 0) run.ended = Now();
  }
}

size_t RunLog::Count(const std::string& id) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return static_cast<size_t>(
      std::count_if(m_runs.begin(), m_runs.end(),
                    [&id](const Run& run) { return run.id == id; }));
}

std::vector<Run> RunLog::Runs() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_runs;
}

bool RunLog::WaitFor(const std::string& id, int timeout_ms) const {
  for (const double end = Now() + timeout_ms / 1000.0; Now() < end;) {
    if (Count(id) > 0) return true;
    SleepMs(1);
  }
  return false;
}

BackendServer::BackendServer(std::string id, const Address& address,
                             RunLog* log)
    : m_id(std::move(id)), m_log(log) {
  const int listener = ListenAt(address);
  if (listener < 0) CannotRun("backend server cannot listen");
  ServeConnections(listener, [this](int fd) { Serve(fd); });
}

void BackendServer::Serve(int fd) {
  MessageReader reader(fd);
  while (const auto request = reader.Next()) {
    const std::string target = request->Target();
    const std::string id = request->Header("request-id");
    const std::string expected = request->Header("target-instance");
    if (!expected.empty() && expected != m_id) {
      if (!SendAll(fd, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " +
                           m_id + "\r\nRequest-Id: " + id +
                           "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")) {
        break;
      }
      continue;
    }
    m_log->Begin(id, m_id);
    SleepMs(static_cast<int>(QueryNumber(target, "ms")));
    const std::string body(QueryNumber(target, "bytes"), 'b');
    m_log->End(id);
    if (!SendAll(fd, "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                         "\r\nResponse-Signature: 3e1b.07.5a2." +
                         std::to_string(body.size()) +
                         ".0.c9f2a4d1\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body)) {
      break;
    }
  }
  close(fd);
}

Fleet::Fleet(const std::string& config_rules) {
  char directory[] = "/tmp/review-XXXXXX";
  m_directory = mkdtemp(directory);
  // Each fleet of a program has addresses of its own.
  static int fleets = 0;
  m_network = 1 + static_cast<int>((getpid() + 7 * fleets++) % 250);
  for (uint16_t& port : m_ports) port = FreePort();
  m_store_port = FreePort();
  m_store = new Store;
  PutConfig(7, config_rules);
}

void Fleet::PutConfig(int version, const std::string& rules) {
  m_store->Put("op/config",
               "{\"version\":" + std::to_string(version) +
                   ",\"limits\":{\"max_header_bytes\":16384,"
                   "\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
                   "\"idle_timeout_ms\":15000},\"listeners\":[{\"host\":\"" +
                   std::string(kHost) + "\",\"rules\":[" + rules +
                   "]}],\"clusters\":[]}");
}

std::string Fleet::StoreIp(const Machine& machine) const {
  return "127." + std::to_string(m_network) + ".1." +
         machine.ip.substr(machine.ip.rfind('.') + 1);
}

Fleet::~Fleet() {
  for (Machine* machine : m_machines) Signal(machine, SIGKILL);
  // REVIEW_KEEP=1 keeps the settings and the logs of the nodes.
  const bool keeps = std::getenv("REVIEW_KEEP") != nullptr;
  if (keeps) Record("kept: " + m_directory);
  for (Machine* machine : m_machines) {
    if (keeps) break;
    std::remove((m_directory + "/" + machine->name + ".toml").c_str());
    std::remove((m_directory + "/" + machine->name + ".log").c_str());
  }
  rmdir(m_directory.c_str());
}

std::string Fleet::Ip(int number) const {
  return "127." + std::to_string(m_network) + ".0." + std::to_string(number);
}

Machine* Fleet::AddMachine(const std::string& service, const std::string& zone,
                           bool behind_proxy) {
  auto* machine = new Machine;
  const int number = static_cast<int>(m_machines.size()) + 1;
  machine->name = "sidecar-" + zone + "-" + std::to_string(number);
  machine->zone = zone;
  machine->ip = Ip(number);
  machine->peer_ip = behind_proxy ? Ip(number + 100) : machine->ip;
  machine->service = service;
  machine->server_id = "i-00000" + std::to_string(number);
  m_machines.push_back(machine);
  m_store->ListenAtAddress({StoreIp(*machine), m_store_port});
  new BackendServer(machine->server_id, {machine->ip, m_ports[0]}, &runs);
  m_store->Put("servers/" + machine->server_id,
               "{\"address\":\"" + Address{machine->ip, m_ports[0]}.Text() +
                   "\",\"born\":" + std::to_string(1790000000000 + number) +
                   ",\"info\":{\"service\":\"" + service +
                   "\",\"version\":\"v1\",\"zone\":\"" + machine->zone +
                   "\",\"slots\":72},\"status\":{\"state\":\"ready\","
                   "\"sequence\":4,\"warmup_remaining_ms\":0}}");
  return machine;
}

Address Fleet::Outbound(const Machine& machine) const {
  return {machine.ip, m_ports[1]};
}

Address Fleet::PeerListener(const Machine& machine) const {
  return {machine.peer_ip, m_ports[2]};
}

Address Fleet::PeerAddress(const Machine& machine) const {
  return {machine.ip, m_ports[2]};
}

void Fleet::StartNode(Machine* machine) {
  const std::string settings = m_directory + "/" + machine->name + ".toml";
  std::ofstream(settings)
      << "node_name = \"" << machine->name << "\"\n"
      << "role = \"node\"\nmachine_class = \"sidecar\"\n"
      << "serves = [\"sidecar\"]\nip = \"" << machine->ip << "\"\nzone = \""
      << machine->zone << "\"\nregion = \""
      << (machine->zone == "kozhikode" ? "north" : "central") << "\"\n"
      << "internal_ports = [7620,7635]\nseeds = []\nbootstrap = "
      << (is_first_start ? "true" : "false")
      << "\nin_fault_budget = false\ndiscovery = \"platform\"\n"
      << "entry = \"static\"\nheartbeat_ms = 1500\n"
      << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\","
         "\"recover\",\"pressure\",\"platform\"]\n"
      << "bounds = [\"seed_lag_s=3\",\"addr_reuse_s=2\","
         "\"stable_window_ms=4000\",\"ack_ms=4000\",\"catch_up_s=4\","
         "\"drain_ms=2500\",\"grace_s=6\",\"loss_slack_ms=200\","
         "\"config_apply_ms=2500\",\"rollback_slack_ms=250\","
         "\"skew_max_ms=5000\",\"retry_budget_ratio=0.2\","
         "\"retry_window_s=10\",\"retry_budget_slack=49\","
         "\"recovery_s=15\"]\n"
      << "app_addr = \"" << machine->ip << ":" << m_ports[0]
      << "\"\nservice = \"" << machine->service << "\"\n[zones]\n"
      << "kozhikode = \"north\"\nfortkochi = \"central\"\n"
      << "kovalam = \"south\"\n[listen]\ninbound = \""
      << PeerListener(*machine).Text() << "\"\noutbound = \""
      << Outbound(*machine).Text() << "\"\nready = \"" << machine->ip << ":"
      << m_ports[3] << "\"\n[limits]\ncpu_share = 0.4\ncores = 1\n"
      << "memory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n"
      << "[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n"
      << "[platform]\naddress = \"" << Address{StoreIp(*machine), m_store_port}.Text()
      << "\"\nform = \"read\"\nwrites_per_s = 400\nreads_per_s = 2000\n"
      << "history_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n";
  const std::string program = "target/platform/vtadapter";
  if (access(program.c_str(), X_OK) != 0) {
    CannotRun("target/platform/vtadapter is missing: build the deploy file");
  }
  const std::string log = m_directory + "/" + machine->name + ".log";
  const std::string variable = "VANILLATILLER_NODE_FILE=" + settings;
  const pid_t parent = getpid();
  machine->pid = fork();
  if (machine->pid == 0) {
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    // The node ends with the thread that started it, which is the main one.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(127);
    char* arguments[] = {const_cast<char*>(program.c_str()), nullptr};
    char* environment[] = {const_cast<char*>(variable.c_str()), nullptr};
    execve(program.c_str(), arguments, environment);
    _exit(127);
  }
  Record("node " + machine->name + " started, pid " +
         std::to_string(machine->pid));
}

void Fleet::Signal(Machine* machine, int signal) {
  if (machine->pid <= 0) return;
  kill(machine->pid, signal);
  if (signal != SIGKILL) return;
  kill(machine->pid, SIGCONT);
  waitpid(machine->pid, nullptr, 0);
  machine->pid = -1;
}

bool Fleet::HasEnded(Machine* machine) {
  if (machine->pid <= 0) return true;
  if (waitpid(machine->pid, nullptr, WNOHANG) != machine->pid) return false;
  machine->pid = -1;
  return true;
}

bool Fleet::WaitReady(const Machine& machine, int timeout_ms) {
  for (const double end = Now() + timeout_ms / 1000.0; Now() < end;) {
    const int fd = ConnectTo({machine.ip, m_ports[3]});
    if (fd >= 0) {
      SendAll(fd, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
      const auto answer = MessageReader(fd).Next();
      close(fd);
      if (answer && answer->Status() == 200) return true;
    }
    SleepMs(50);
  }
  return false;
}

double Fleet::MemoryMb(const Machine& machine) const {
  if (machine.pid <= 0) return 0;
  std::ifstream status("/proc/" + std::to_string(machine.pid) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.rfind("VmHWM:", 0) == 0) {
      return std::strtod(line.c_str() + 6, nullptr) / 1024;
    }
  }
  return 0;
}

// One forwarded connection.
struct Link::Pair {
  int client = -1;
  int server = -1;
  // Cleared when the machine loses power: nothing is forwarded any more.
  std::atomic<bool> is_alive{true};
};

Link::Link(const Address& from, const Address& to, int delay_ms)
    : m_from(from), m_to(to), m_delay_ms(delay_ms) {
  m_listener = ListenAt(from);
  if (m_listener < 0) CannotRun("link cannot listen");
  std::thread([this] {
    while (true) {
      if (m_is_dark) {
        SleepMs(1);
        continue;
      }
      const int client =
          accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
      if (client < 0) {
        SleepMs(1);
        continue;
      }
      fcntl(client, F_SETFL, fcntl(client, F_GETFL) & ~O_NONBLOCK);
      std::thread([this, client] { Forward(client); }).detach();
    }
  }).detach();
  fcntl(m_listener, F_SETFL, fcntl(m_listener, F_GETFL) | O_NONBLOCK);
}

void Link::Forward(int client) {
  const int on = 1;
  setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const int server = ConnectTo(m_to);
  if (server < 0) {
    // No process listens: the connection is reset.
    const linger reset = {1, 0};
    setsockopt(client, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    close(client);
    return;
  }
  ++m_accepted;
  auto* pair = new Pair;
  pair->client = client;
  pair->server = server;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_pairs.push_back(pair);
  }
  std::thread([this, pair] {
    Copy(pair, pair->client, pair->server, m_delay_ms);
  }).detach();
  Copy(pair, server, client, m_delay_ms);
}

// Sends what is read after the delay, in order.
void Link::Copy(Pair* pair, int from, int to, int delay_ms) {
  struct Queue {
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::pair<double, std::string>> chunks;
    bool is_over = false;
  };
  auto queue = std::make_shared<Queue>();
  std::thread([queue, pair, to, delay_ms] {
    while (true) {
      std::unique_lock<std::mutex> lock(queue->mutex);
      queue->changed.wait(
          lock, [&] { return !queue->chunks.empty() || queue->is_over; });
      if (queue->chunks.empty()) break;
      const auto chunk = queue->chunks.front();
      queue->chunks.erase(queue->chunks.begin());
      lock.unlock();
      const double wait = chunk.first + delay_ms / 1000.0 - Now();
      if (wait > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(wait));
      }
      if (!pair->is_alive) return;
      if (!SendAll(to, chunk.second)) return;
    }
    if (pair->is_alive) shutdown(to, SHUT_WR);
  }).detach();
  char buffer[65536];
  while (true) {
    const ssize_t count = recv(from, buffer, sizeof(buffer), 0);
    const std::lock_guard<std::mutex> lock(queue->mutex);
    if (count <= 0 || !pair->is_alive) {
      queue->is_over = true;
      queue->changed.notify_all();
      return;
    }
    queue->chunks.emplace_back(
        Now(), std::string(buffer, static_cast<size_t>(count)));
    queue->changed.notify_all();
  }
}

void Link::GoDark() {
  m_is_dark = true;
  // New connections hang, because the queue of unaccepted ones is full.
  listen(m_listener, 0);
  for (int i = 0; i < 8; ++i) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in target = SocketAddressOf(m_from);
    connect(fd, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
    m_fillers.push_back(fd);
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  // The sockets stay open, so that the other side hears nothing.
  for (Pair* pair : m_pairs) pair->is_alive = false;
}

void Link::Restore() {
  for (const int fd : m_fillers) close(fd);
  m_fillers.clear();
  while (true) {
    const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) break;
    close(fd);
  }
  listen(m_listener, 512);
  m_is_dark = false;
}

std::string RequestText(const std::string& method, const std::string& target,
                        const std::string& id, int deadline_ms,
                        const std::string& body) {
  std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + kHost +
                     "\r\nRequest-Id: " + id +
                     "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
  if (method != "GET" || !body.empty()) {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

std::string Rule(const std::string& name, const std::string& prefix,
                 const std::string& type, const std::string& service,
                 int timeout_ms) {
  return "{\"name\":\"" + name + "\",\"type\":\"" + type +
         "\",\"target_latency_ms\":1500,\"priority\":1,\"match\":{\"prefix\":\"" +
         prefix + "\"},\"action\":{\"service\":\"" + service +
         "\",\"timeout_ms\":" + std::to_string(timeout_ms) +
         ",\"max_attempts\":2}}";
}

}  // namespace review
