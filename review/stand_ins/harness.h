// Stand-ins for the review's cases: the platform's store, backend servers,
// clients, a proxy between nodes, and the start and end of vtadapter processes.
// Uses only the C++ library and POSIX, with one thread for each connection.

#ifndef REVIEW_STAND_INS_HARNESS_H_
#define REVIEW_STAND_INS_HARNESS_H_

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace review {

// Seconds since the start of the program.
double Now();
void SleepMs(int ms);
// Writes one line to record.txt, with the time.
void Record(const std::string& line);
// Opens DIRECTORY/record.txt; must be called first.
void OpenRecord(const std::string& directory);
// Whether the disruption is to be made: TROUBLE is not 0.
bool Trouble();
// Exits with 2: the case could not run.
[[noreturn]] void CannotRun(const std::string& why);

struct Address {
  std::string ip;
  uint16_t port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

// Returns the socket, or -1.
int ListenAt(const Address& address);
// `segment_bytes` limits the segments to those of a network, as the loopback
// interface has much larger ones.
int ConnectTo(const Address& address, int receive_buffer_bytes = 0,
              int segment_bytes = 0);
bool SendAll(int fd, const std::string& data);
// Accepts connections and runs `serve` for each in a thread of its own.
void ServeConnections(int listener, std::function<void(int fd)> serve);

// One HTTP message.
struct Message {
  std::string start_line;
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;
  int Status() const;
  std::string Method() const;
  std::string Target() const;
  std::string Header(const std::string& name) const;
};

// Reads messages from one connection.
class MessageReader {
 public:
  explicit MessageReader(int fd) : m_fd(fd) {}
  // Nullopt if the connection ends before a message is complete.
  std::optional<Message> Next();
  // Number of bytes received in all, and whether the last read was a reset.
  size_t received = 0;
  bool was_reset = false;

 private:
  bool Fill();
  int m_fd;
  std::string m_data;
};

// The platform's store: items with revisions, reads and watches.
class Store {
 public:
  // Callers are told apart by the address at which they call.
  void ListenAtAddress(const Address& address);
  // Whether the caller at `ip` waits for an answer to a watch.
  bool IsWatched(const std::string& ip);
  // From now on, callers at `ip` get no answers, also to waiting calls.
  void TurnAway(const std::string& ip);
  void ServeAgain(const std::string& ip);
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);

 private:
  struct Item {
    std::string value;
    uint64_t revision = 0;
  };
  struct Event {
    std::string key;
    std::string value;
    uint64_t revision = 0;
    bool removed = false;
  };
  void Serve(int fd);
  std::string Answer(const Message& request, const std::string& ip,
                     int* status);

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, int> m_watches;
  std::map<std::string, bool> m_turned_away;
  std::map<std::string, Item> m_items;
  std::vector<Event> m_events;
  uint64_t m_revision = 100;
};

// One run of a request at a backend server.
struct Run {
  std::string id;
  std::string server;
  double started = 0;
  double ended = 0;
};

// Counts what all backend servers ran.
class RunLog {
 public:
  void Begin(const std::string& id, const std::string& server);
  void End(const std::string& id);
  size_t Count(const std::string& id) const;
  std::vector<Run> Runs() const;
  // Waits until `id` has begun at a server.
  bool WaitFor(const std::string& id, int timeout_ms) const;

 private:
  mutable std::mutex m_mutex;
  std::vector<Run> m_runs;
};

// A backend server. The query of a request tells how long it works
// (ms=NUMBER) and how long its answer is (bytes=NUMBER).
class BackendServer {
 public:
  BackendServer(std::string id, const Address& address, RunLog* log);

 private:
  void Serve(int fd);
  const std::string m_id;
  RunLog* m_log;
};

// A machine: its addresses, its backend server and its node.
struct Machine {
  std::string name;
  std::string ip;
  std::string zone = "kozhikode";
  std::string service;
  std::string server_id;
  // Where the node itself listens for other nodes. Differs from `ip` if a
  // proxy stands at `ip`.
  std::string peer_ip;
  pid_t pid = -1;
};

// A small deployment on loopback addresses.
class Fleet {
 public:
  explicit Fleet(const std::string& config_rules);
  ~Fleet();

  // Adds a machine with a backend server, and lists it in the store.
  Machine* AddMachine(const std::string& service,
                      const std::string& zone = "kozhikode",
                      bool behind_proxy = false);
  void StartNode(Machine* machine);
  // Sends a signal to the node; with SIGKILL, also waits for its end.
  void Signal(Machine* machine, int signal);
  // Whether the node's process has ended.
  bool HasEnded(Machine* machine);
  // Waits until the node's health check gives 200.
  bool WaitReady(const Machine& machine, int timeout_ms = 10000);
  // Where the node of this machine calls the store.
  std::string StoreIp(const Machine& machine) const;
  Store* store() { return m_store; }
  void PutConfig(int version, const std::string& rules);
  Address Outbound(const Machine& machine) const;
  Address PeerListener(const Machine& machine) const;
  // Where other nodes look for the node of this machine.
  Address PeerAddress(const Machine& machine) const;
  // Most resident memory that the node has had, in MB; 0 if it has ended.
  double MemoryMb(const Machine& machine) const;

  RunLog runs;
  bool is_first_start = true;

 private:
  std::string Ip(int number) const;

  std::string m_directory;
  int m_network = 0;
  uint16_t m_ports[4] = {};
  uint16_t m_store_port = 0;
  Store* m_store = nullptr;
  std::vector<Machine*> m_machines;
};

// The link to one machine: forwards connections with a delay each way. While it
// is dark, the machine has no power: bytes on the way are lost, connections hear
// nothing, and new ones hang.
class Link {
 public:
  Link(const Address& from, const Address& to, int delay_ms);
  void GoDark();
  void Restore();
  size_t Accepted() const { return m_accepted; }

 private:
  struct Pair;
  void Forward(int client);
  static void Copy(Pair* pair, int from, int to, int delay_ms);

  const Address m_from;
  const Address m_to;
  const int m_delay_ms;
  int m_listener = -1;
  std::atomic<bool> m_is_dark{false};
  std::atomic<size_t> m_accepted{0};
  std::mutex m_mutex;
  std::vector<Pair*> m_pairs;
  std::vector<int> m_fillers;
};

// Text of a request.
std::string RequestText(const std::string& method, const std::string& target,
                        const std::string& id, int deadline_ms,
                        const std::string& body = "");

// Rules of a configuration: PREFIX:TYPE:SERVICE:TIMEOUT_MS.
std::string Rule(const std::string& name, const std::string& prefix,
                 const std::string& type, const std::string& service,
                 int timeout_ms);

inline constexpr const char* kHost = "hulo84.example";

}  // namespace review

#endif  // REVIEW_STAND_INS_HARNESS_H_
