#include "kit.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>

namespace kit {
namespace {

using Clock = std::chrono::steady_clock;
const Clock::time_point g_start = Clock::now();

sockaddr_in SocketAddress(const std::string& ip, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), ::tolower);
  return text;
}

std::string Base64(const std::string& text) {
  static const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < text.size(); i += 3) {
    const size_t left = std::min<size_t>(3, text.size() - i);
    uint32_t bits = 0;
    for (size_t k = 0; k < 3; ++k) {
      bits = bits << 8 | (k < left ? static_cast<uint8_t>(text[i + k]) : 0);
    }
    for (size_t k = 0; k < 4; ++k) {
      out += k <= left ? kDigits[bits >> (18 - 6 * k) & 63] : '=';
    }
  }
  return out;
}

std::string QueryValue(const std::string& query, const std::string& name) {
  std::istringstream parts(query);
  std::string part;
  while (std::getline(parts, part, '&')) {
    if (part.rfind(name + "=", 0) != 0) continue;
    std::string out;
    const std::string raw = part.substr(name.size() + 1);
    for (size_t i = 0; i < raw.size(); ++i) {
      if (raw[i] == '%' && i + 2 < raw.size()) {
        out += static_cast<char>(std::stoi(raw.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        out += raw[i];
      }
    }
    return out;
  }
  return "";
}

std::string HttpText(const std::string& start, const std::string& headers,
                     const std::string& body) {
  return start + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

int Network() {
  static const int network = 10 + getpid() % 200;
  return network;
}

}  // namespace

double NowMs() {
  return std::chrono::duration<double, std::milli>(Clock::now() - g_start)
      .count();
}

void SleepMs(double ms) {
  if (ms <= 0) return;
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

Record::Record() : m_file(std::fopen("record.txt", "w")) {}
Record::~Record() {
  if (m_file != nullptr) std::fclose(m_file);
}

void Record::Line(const char* format, ...) {
  char text[2000];
  va_list arguments;
  va_start(arguments, format);
  std::vsnprintf(text, sizeof(text), format, arguments);
  va_end(arguments);
  const std::lock_guard lock(m_mutex);
  if (m_file == nullptr) return;
  std::fprintf(m_file, "%9.3f s  %s\n", NowMs() / 1000, text);
  std::fflush(m_file);
}

Record& TheRecord() {
  static Record record;
  return record;
}

std::string Message::Header(const std::string& name) const {
  const auto found = headers.find(Lower(name));
  return found == headers.end() ? "" : found->second;
}

int Message::Status() const {
  return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0;
}

std::string Message::Target() const {
  const size_t first = start.find(' ');
  const size_t second = start.find(' ', first + 1);
  return start.substr(first + 1, second - first - 1);
}

void Socket::Close() {
  if (m_fd >= 0) close(m_fd);
  m_fd = -1;
}

bool Socket::Write(const std::string& text) {
  size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t count =
        send(m_fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<size_t>(count);
  }
  return true;
}

ssize_t Socket::Read(char* data, size_t size) {
  if (!m_buffer.empty()) {
    const size_t count = std::min(size, m_buffer.size());
    std::memcpy(data, m_buffer.data(), count);
    m_buffer.erase(0, count);
    return static_cast<ssize_t>(count);
  }
  return recv(m_fd, data, size, 0);
}

void Socket::SetReadTimeout(double ms) {
  timeval time{};
  time.tv_sec = static_cast<time_t>(ms / 1000);
  time.tv_usec = static_cast<suseconds_t>((ms - time.tv_sec * 1000.0) * 1000);
  setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
}

std::optional<Message> Socket::ReadMessage() {
  char data[65536];
  size_t end = 0;
  while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
    const ssize_t count = recv(m_fd, data, sizeof(data), 0);
    if (count <= 0) return std::nullopt;
    m_buffer.append(data, static_cast<size_t>(count));
  }
  Message message;
  std::istringstream head(m_buffer.substr(0, end));
  m_buffer.erase(0, end + 4);
  std::string line;
  std::getline(head, message.start);
  if (!message.start.empty() && message.start.back() == '\r') {
    message.start.pop_back();
  }
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') ++value;
    message.headers[Lower(line.substr(0, colon))] = line.substr(value);
  }
  const std::string length = message.Header("content-length");
  const size_t size = length.empty() ? 0 : std::stoul(length);
  while (m_buffer.size() < size) {
    const ssize_t count = recv(m_fd, data, sizeof(data), 0);
    if (count <= 0) return std::nullopt;
    m_buffer.append(data, static_cast<size_t>(count));
  }
  message.body = m_buffer.substr(0, size);
  m_buffer.erase(0, size);
  return message;
}

std::unique_ptr<Socket> Connect(const std::string& ip, uint16_t port,
                                const ConnectOptions& options) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto made = std::make_unique<Socket>(fd);
  if (options.receive_buffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &options.receive_buffer,
               sizeof(options.receive_buffer));
  }
  if (options.segment > 0) {
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &options.segment,
               sizeof(options.segment));
  }
  const sockaddr_in address = SocketAddress(ip, port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    return nullptr;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return made;
}

Listener::Listener(const std::string& ip, uint16_t port, Handler handler)
    : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)),
      m_handler(std::move(handler)) {
  const int on = 1;
  setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = SocketAddress(ip, port);
  if (bind(m_fd, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(m_fd, 1024) != 0) {
    std::perror("listen");
    std::_Exit(2);
  }
  m_acceptor = std::thread([this] {
    while (!m_stopping) {
      pollfd waits{m_fd, POLLIN, 0};
      if (poll(&waits, 1, 100) <= 0) continue;
      const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int nodelay = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &nodelay, sizeof(nodelay));
      const std::lock_guard lock(m_mutex);
      m_open.insert(fd);
      m_threads.emplace_back([this, fd] {
        Socket socket(fd);
        m_handler(&socket);
        const std::lock_guard closing(m_mutex);
        m_open.erase(fd);
      });
    }
  });
}

Listener::~Listener() {
  m_stopping = true;
  m_acceptor.join();
  {
    const std::lock_guard lock(m_mutex);
    for (const int fd : m_open) shutdown(fd, SHUT_RDWR);
  }
  for (std::thread& thread : m_threads) thread.join();
  close(m_fd);
}

uint16_t FreePort() {
  static std::set<uint16_t> given;
  while (true) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = SocketAddress("127.0.0.1", 0);
    address.sin_addr.s_addr = htonl(INADDR_ANY);
    socklen_t size = sizeof(address);
    const bool is_bound =
        bind(fd, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
        getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0;
    close(fd);
    if (!is_bound) std::_Exit(2);
    const uint16_t port = ntohs(address.sin_port);
    if (given.insert(port).second) return port;
  }
}

std::string MachineIp(int machine) {
  return "127." + std::to_string(Network()) + ".0." +
         std::to_string(machine + 2);
}

Store::Store() : m_port(FreePort()) {
  m_listener = std::make_unique<Listener>(
      "127.0.0.1", m_port, [this](Socket* socket) { Serve(socket); });
}

std::string Store::address() const {
  return "127.0.0.1:" + std::to_string(m_port);
}

uint64_t Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(m_mutex);
  Item& item = m_items[key];
  item.value = value;
  item.revision = m_history.size() + 1;
  if (item.created == 0) item.created = item.revision;
  m_history.push_back(
      {key, "{\"key\":\"" + key + "\",\"value\":\"" + Base64(value) +
                "\",\"revision\":" + std::to_string(item.revision) +
                ",\"created_rev\":" + std::to_string(item.created) +
                ",\"lease\":0}"});
  m_changed.notify_all();
  return item.revision;
}

uint64_t Store::Remove(const std::string& key) {
  const std::lock_guard lock(m_mutex);
  m_items.erase(key);
  const uint64_t revision = m_history.size() + 1;
  m_history.push_back({key, "{\"key\":\"" + key +
                                "\",\"revision\":" + std::to_string(revision) +
                                ",\"removed\":true}"});
  m_changed.notify_all();
  return revision;
}

void Store::Serve(Socket* socket) {
  while (const auto request = socket->ReadMessage()) {
    SleepMs(4);
    if (!socket->Write(Answer(*request))) return;
  }
}

std::string Store::Answer(const Message& request) {
  const std::string target = request.Target();
  const size_t mark = target.find('?');
  const std::string path = target.substr(0, mark);
  const std::string query =
      mark == std::string::npos ? "" : target.substr(mark + 1);
  const std::string type = "Content-Type: application/json\r\n";
  if (path == "/-/kv-range") {
    return HttpText("HTTP/1.1 200 OK", type, Range(query));
  }
  if (path == "/-/kv-watch") {
    return HttpText("HTTP/1.1 200 OK", type, Watch(query));
  }
  const std::lock_guard lock(m_mutex);
  const auto found = m_items.find(QueryValue(query, "key"));
  if (path != "/-/kv-key" || found == m_items.end()) {
    return HttpText(
        "HTTP/1.1 404 Not Found", type,
        "{\"current_rev\":" + std::to_string(m_history.size()) + "}");
  }
  std::string item = m_history[found->second.revision - 1].json;
  item.pop_back();
  return HttpText(
      "HTTP/1.1 200 OK", type,
      item + ",\"current_rev\":" + std::to_string(m_history.size()) + "}");
}

std::string Store::Range(const std::string& query) {
  const std::string prefix = QueryValue(query, "prefix");
  const std::string after = QueryValue(query, "after");
  const std::lock_guard lock(m_mutex);
  std::string items;
  for (const auto& [key, item] : m_items) {
    if (key.rfind(prefix, 0) != 0 || (!after.empty() && key <= after)) continue;
    if (!items.empty()) items += ",";
    items += m_history[item.revision - 1].json;
  }
  return "{\"items\":[" + items + "],\"more_pages\":false,\"current_rev\":" +
         std::to_string(m_history.size()) + "}";
}

std::string Store::Watch(const std::string& query) {
  const std::string prefix = QueryValue(query, "prefix");
  const size_t after = std::stoul("0" + QueryValue(query, "after"));
  const auto until =
      Clock::now() +
      std::chrono::milliseconds(std::stoul("0" + QueryValue(query, "wait_ms")));
  std::unique_lock lock(m_mutex);
  std::string events;
  while (true) {
    for (size_t i = after; i < m_history.size(); ++i) {
      if (m_history[i].key.rfind(prefix, 0) != 0) continue;
      if (!events.empty()) events += ",";
      events += m_history[i].json;
    }
    if (!events.empty() ||
        m_changed.wait_until(lock, until) == std::cv_status::timeout) {
      break;
    }
  }
  return "{\"events\":[" + events +
         "],\"current_rev\":" + std::to_string(m_history.size()) + "}";
}

Server::Server(std::string id, std::string service, const std::string& ip,
               uint16_t port, int slots, Work work, int clock_ms)
    : m_id(std::move(id)),
      m_service(std::move(service)),
      m_address(ip + ":" + std::to_string(port)),
      m_slots(slots),
      m_born(static_cast<uint64_t>(
          std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count() +
          clock_ms)),
      m_work(std::move(work)) {
  m_listener = std::make_unique<Listener>(
      ip, port, [this](Socket* socket) { Serve(socket); });
}

std::string Server::Entry(const std::string& state,
                          const std::string& zone) const {
  return "{\"address\":\"" + m_address +
         "\",\"born\":" + std::to_string(m_born) + ",\"info\":{\"service\":\"" +
         m_service + "\",\"version\":\"v1\",\"zone\":\"" + zone +
         "\",\"slots\":" + std::to_string(m_slots) +
         "},\"status\":{\"state\":\"" + state +
         "\",\"sequence\":1,\"warmup_remaining_ms\":0}}";
}

std::vector<Arrival> Server::arrivals() {
  const std::lock_guard lock(m_mutex);
  return m_arrivals;
}

int Server::Runs(const std::string& request_id) {
  const std::lock_guard lock(m_mutex);
  return static_cast<int>(std::count_if(
      m_arrivals.begin(), m_arrivals.end(),
      [&](const Arrival& arrival) { return arrival.id == request_id; }));
}

void Server::Serve(Socket* socket) {
  while (const auto request = socket->ReadMessage()) {
    Arrival arrival;
    arrival.at = NowMs();
    arrival.id = request->Header("request-id");
    arrival.method = request->start.substr(0, request->start.find(' '));
    arrival.path = request->Target();
    const std::string expected = request->Header("target-instance");
    if (!expected.empty() && expected != m_id) {
      socket->Write(HttpText(
          "HTTP/1.1 421 Misdirected Request",
          "Request-Id: " + arrival.id + "\r\nInstance-Id: " + m_id + "\r\n",
          ""));
      continue;
    }
    {
      std::unique_lock lock(m_mutex);
      m_arrivals.push_back(arrival);
      // Requests beyond the slots wait.
      m_freed.wait(lock, [this] { return m_running < m_slots; });
      ++m_running;
    }
    TheRecord().Line("server %s runs %s %s %s", m_id.c_str(),
                     arrival.id.c_str(), arrival.method.c_str(),
                     arrival.path.c_str());
    const std::string body = m_work(arrival);
    {
      const std::lock_guard lock(m_mutex);
      --m_running;
      m_freed.notify_one();
    }
    TheRecord().Line("server %s answers %s, %zu bytes", m_id.c_str(),
                     arrival.id.c_str(), body.size());
    if (!socket->Write(HttpText("HTTP/1.1 200 OK",
                                "Request-Id: " + arrival.id +
                                    "\r\nResponse-Signature: sig-" +
                                    arrival.id + "\r\n",
                                body))) {
      return;
    }
  }
}

std::string ConfigText(int version, const std::vector<Route>& routes,
                       const std::vector<std::string>& services,
                       const Limits& limits) {
  std::string rules;
  for (const Route& route : routes) {
    if (!rules.empty()) rules += ",";
    rules += "{\"name\":\"" + route.name + "\",\"type\":\"" + route.type +
             "\",\"target_latency_ms\":" + std::to_string(route.target_ms) +
             ",\"priority\":1,\"match\":{\"prefix\":\"" + route.prefix +
             "\"},\"action\":{\"service\":\"" + route.service +
             "\",\"timeout_ms\":" + std::to_string(route.timeout_ms) +
             ",\"max_attempts\":" + std::to_string(route.max_attempts) + "}}";
  }
  std::string clusters;
  for (const std::string& service : services) {
    if (!clusters.empty()) clusters += ",";
    clusters += "{\"name\":\"" + service +
                "\",\"health_check_path\":\"/health\",\"max_connections\":532,"
                "\"protocol\":\"h1\",\"tls\":false}";
  }
  return "{\"version\":" + std::to_string(version) +
         ",\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
         "\"header_timeout_ms\":" +
         std::to_string(limits.header_timeout_ms) +
         ",\"idle_timeout_ms\":" + std::to_string(limits.idle_timeout_ms) +
         "},\"listeners\":[{\"host\":\"" + std::string(kHost) +
         "\",\"rules\":[" + rules + "]}],\"clusters\":[" + clusters + "]}";
}

Fleet::Fleet(Store* store, std::vector<Machine> machines)
    : m_store(store),
      m_machines(std::move(machines)),
      m_pids(m_machines.size(), -1),
      m_inbound(FreePort()),
      m_outbound(FreePort()),
      m_ready(FreePort()),
      m_app(FreePort()) {
  signal(SIGPIPE, SIG_IGN);
  char directory[] = "/tmp/vt-review-XXXXXX";
  if (mkdtemp(directory) == nullptr) std::_Exit(2);
  m_directory = directory;
}

Fleet::~Fleet() {
  for (const pid_t pid : m_pids) {
    if (pid <= 0) continue;
    kill(pid, SIGCONT);
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  for (size_t i = 0; i < m_machines.size(); ++i) {
    unlink((m_directory + "/node-" + std::to_string(i) + ".toml").c_str());
    if (std::getenv("KEEP_LOGS") == nullptr) {
      unlink((m_directory + "/node-" + std::to_string(i) + ".log").c_str());
    }
  }
  rmdir(m_directory.c_str());
}

std::string Fleet::SettingsFile(int machine) {
  const std::string path =
      m_directory + "/node-" + std::to_string(machine) + ".toml";
  const std::string ip = Ip(machine);
  const auto at = [&ip](uint16_t port) {
    return "\"" + ip + ":" + std::to_string(port) + "\"\n";
  };
  std::ofstream file(path);
  file << "node_name = \"sidecar-" << machine << "\"\n"
       << "role = \"node\"\nmachine_class = \"sidecar\"\n"
       << "serves = [\"sidecar\"]\nip = \"" << ip << "\"\nzone = \""
       << Zone(machine) << "\"\nregion = \"north\"\n"
       << "internal_ports = [" << m_inbound << "," << m_inbound << "]\n"
       << "seeds = []\nbootstrap = true\ndiscovery = \"platform\"\n"
       << "heartbeat_ms = 1500\nbounds = [\"addr_reuse_s=2\","
          "\"stable_window_ms=4000\",\"drain_ms=2500\",\"grace_s=6\","
          "\"loss_slack_ms=200\",\"config_apply_ms=2500\","
          "\"retry_budget_ratio=0.2\",\"retry_window_s=10\","
          "\"retry_budget_slack=49\",\"recovery_s=15\"]\n"
       << "app_addr = " << at(m_app) << "service = \""
       << m_machines[machine].service << "\"\n[zones]\n";
  std::set<std::string> zones;
  for (const Machine& other : m_machines) zones.insert(other.zone);
  for (const std::string& zone : zones) file << zone << " = \"north\"\n";
  file << "[listen]\ninbound = " << at(m_inbound)
       << "outbound = " << at(m_outbound) << "ready = " << at(m_ready)
       << "[limits]\ncpu_share = 0.4\ncores = 1\nmemory_mb = 260\n"
          "max_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n"
       << "[platform]\naddress = \"" << m_store->address()
       << "\"\nform = \"read\"\nreads_per_s = 2000\nhistory_s = 20\n"
          "value_bytes = 1048576\n";
  return path;
}

void Fleet::Start(int machine) {
  const std::string settings = SettingsFile(machine);
  const std::string log =
      m_directory + "/node-" + std::to_string(machine) + ".log";
  // The command of the deploy file, in the root of the repository.
  static constexpr const char* kProgram = "target/platform/vtadapter";
  const char* root = std::getenv("ROOT");
  const std::string variable = "VANILLATILLER_NODE_FILE=" + settings;
  char* const environment[] = {const_cast<char*>(variable.c_str()), nullptr};
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) std::_Exit(127);
    if (root != nullptr && chdir(root) != 0) std::_Exit(127);
    const int fd =
        open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    signal(SIGPIPE, SIG_DFL);
    execle(kProgram, kProgram, nullptr, environment);
    std::_Exit(127);
  }
  m_pids[machine] = pid;
  TheRecord().Line("machine %d: process started", machine);
}

void Fleet::Signal(int machine, int signal) {
  TheRecord().Line("machine %d: %s", machine, strsignal(signal));
  if (m_pids[machine] > 0) kill(m_pids[machine], signal);
}

bool Fleet::HasEnded(int machine) {
  if (m_pids[machine] <= 0) return true;
  int status = 0;
  if (waitpid(m_pids[machine], &status, WNOHANG) != m_pids[machine]) {
    return false;
  }
  TheRecord().Line("machine %d: process ended, status %d, signal %d", machine,
                   WIFEXITED(status) ? WEXITSTATUS(status) : -1,
                   WIFSIGNALED(status) ? WTERMSIG(status) : 0);
  m_pids[machine] = -1;
  return true;
}

bool Fleet::IsReady(int machine) {
  const auto socket = Connect(Ip(machine), m_ready);
  if (!socket) return false;
  socket->SetReadTimeout(1000);
  socket->Write("GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
  const auto answer = socket->ReadMessage();
  return answer && answer->Status() == 200;
}

bool Fleet::WaitUntilReady(double ms) {
  const double until = NowMs() + ms;
  for (size_t i = 0; i < m_machines.size(); ++i) {
    while (!IsReady(static_cast<int>(i))) {
      if (NowMs() > until) return false;
      SleepMs(50);
    }
  }
  return true;
}

double Fleet::MemoryMb(int machine) {
  std::ifstream file("/proc/" + std::to_string(m_pids[machine]) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind("VmRSS:", 0) == 0) return std::stod(line.substr(6)) / 1024;
  }
  return 0;
}

Reading ReadAnswer(Socket* socket, double bytes_per_s, double until) {
  constexpr double kStepMs = 50;
  const auto step = bytes_per_s > 0
                        ? static_cast<size_t>(bytes_per_s * kStepMs / 1000)
                        : size_t{65536};
  Reading reading;
  std::string head;
  size_t total = 0;
  size_t head_size = 0;
  std::string chunk(step, '\0');
  double next = NowMs();
  while (NowMs() < until) {
    const ssize_t count = socket->Read(chunk.data(), chunk.size());
    if (count <= 0) break;
    total += static_cast<size_t>(count);
    if (head_size == 0) {
      head.append(chunk, 0, static_cast<size_t>(count));
      const size_t end = head.find("\r\n\r\n");
      if (end == std::string::npos) continue;
      head_size = end + 4;
      reading.status = std::atoi(head.c_str() + 9);
      reading.has_signature = head.find("Response-Signature") < end;
      const size_t length = head.find("Content-Length: ");
      reading.expected = std::strtoul(head.c_str() + length + 16, nullptr, 10);
      next = NowMs();
    }
    reading.read = total - head_size;
    if (reading.read >= reading.expected) break;
    if (bytes_per_s <= 0) continue;
    next += 1000 * static_cast<double>(count) / bytes_per_s;
    SleepMs(next - NowMs());
  }
  reading.ended = NowMs();
  return reading;
}

std::string RequestText(const std::string& method, const std::string& path,
                        const std::string& id, int deadline_ms) {
  std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + kHost +
                     "\r\nRequest-Id: " + id +
                     "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
  if (method == "POST") text += "Content-Length: 0\r\n";
  return text + "\r\n";
}

int Verdict(bool is_broken, const std::string& what) {
  const char* word = is_broken ? "BROKEN" : "HELD";
  TheRecord().Line("%s: %s", word, what.c_str());
  std::printf("%s: %s\n", word, what.c_str());
  return is_broken ? 1 : 0;
}

int CannotRun(const std::string& why) {
  TheRecord().Line("could not run: %s", why.c_str());
  std::printf("could not run: %s\n", why.c_str());
  return 2;
}

}  // namespace kit
