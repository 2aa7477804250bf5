// Stand-ins for the cases of REPORT-2.md: the platform's store, backend
// servers, clients, and a fleet of vtadapter processes on loopback addresses.
// Blocking sockets, one thread for each connection.

#ifndef VANILLATILLER_REVIEW_STAND_INS_2_KIT_H_
#define VANILLATILLER_REVIEW_STAND_INS_2_KIT_H_

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace kit {

// Milliseconds since the program started.
double NowMs();
void SleepMs(double ms);

// Whether the disruption of the case takes place (TROUBLE=0 turns it off).
bool HasTrouble();

// Writes what happened to record.txt in the working directory.
class Record {
 public:
  Record();
  ~Record();
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3)));

 private:
  std::mutex m_mutex;
  FILE* m_file;
};
Record& TheRecord();

struct Message {
  // First line, without its end.
  std::string start;
  // Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;

  std::string Header(const std::string& name) const;
  int Status() const;
  // Second word of the first line.
  std::string Target() const;
};

// A connected socket.
class Socket {
 public:
  explicit Socket(int fd = -1) : m_fd(fd) {}
  ~Socket() { Close(); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  int fd() const { return m_fd; }
  bool IsOpen() const { return m_fd >= 0; }
  void Close();
  bool Write(const std::string& text);
  // Reads at most `size` bytes; 0 at the end, -1 on an error or a time-out.
  ssize_t Read(char* data, size_t size);
  void SetReadTimeout(double ms);
  // Reads one message whose body has a length; nullopt if the connection ends
  // before it is complete.
  std::optional<Message> ReadMessage();

 private:
  int m_fd;
  std::string m_buffer;
};

struct ConnectOptions {
  // Size of the receive buffer; 0 leaves the default.
  int receive_buffer = 0;
  // Largest segment, as on an Ethernet link; 0 leaves that of loopback.
  int segment = 0;
};
std::unique_ptr<Socket> Connect(const std::string& ip, uint16_t port,
                                const ConnectOptions& options = {});

// Accepts connections until it is destroyed, each in a thread of its own.
class Listener {
 public:
  using Handler = std::function<void(Socket*)>;
  Listener(const std::string& ip, uint16_t port, Handler handler);
  ~Listener();

 private:
  int m_fd;
  Handler m_handler;
  std::atomic<bool> m_stopping{false};
  std::mutex m_mutex;
  std::set<int> m_open;
  std::vector<std::thread> m_threads;
  std::thread m_acceptor;
};

// A port that is free at all addresses of the fleet.
uint16_t FreePort();
// Address of a machine; each run has a network of its own.
std::string MachineIp(int machine);

// The platform's store. Serves what PROTOCOL.md tells of it.
class Store {
 public:
  Store();
  std::string address() const;
  // Returns the revision; the change is acknowledged by then.
  uint64_t Put(const std::string& key, const std::string& value);
  uint64_t Remove(const std::string& key);

 private:
  struct Item {
    std::string value;
    uint64_t revision = 0;
    uint64_t created = 0;
  };
  struct Change {
    std::string key;
    std::string json;
  };
  void Serve(Socket* socket);
  std::string Answer(const Message& request);
  std::string Range(const std::string& query);
  std::string Watch(const std::string& query);

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Item> m_items;
  // The change at revision i + 1.
  std::vector<Change> m_history;
  uint16_t m_port;
  std::unique_ptr<Listener> m_listener;
};

// A request as a backend server received it.
struct Arrival {
  double at = 0;
  std::string id;
  std::string method;
  std::string path;
};

// A sound backend server. `work` returns the body of the answer, after the time
// that the request takes.
class Server {
 public:
  using Work = std::function<std::string(const Arrival&)>;
  // `clock_ms`: how far the clock of its machine is ahead.
  Server(std::string id, std::string service, const std::string& ip,
         uint16_t port, int slots, Work work, int clock_ms = 0);

  const std::string& id() const { return m_id; }
  // The entry in the store.
  std::string Entry(const std::string& state, const std::string& zone) const;
  std::vector<Arrival> arrivals();
  // How often a request ran.
  int Runs(const std::string& request_id);

 private:
  void Serve(Socket* socket);

  const std::string m_id;
  const std::string m_service;
  const std::string m_address;
  const int m_slots;
  const uint64_t m_born;
  Work m_work;
  std::mutex m_mutex;
  std::condition_variable m_freed;
  int m_running = 0;
  std::vector<Arrival> m_arrivals;
  std::unique_ptr<Listener> m_listener;
};

struct Route {
  std::string name;
  std::string type;
  std::string prefix;
  std::string service;
  int timeout_ms = 5000;
  int target_ms = 1000;
  int max_attempts = 2;
};

struct Limits {
  int header_timeout_ms = 3000;
  int idle_timeout_ms = 15000;
};

std::string ConfigText(int version, const std::vector<Route>& routes,
                       const std::vector<std::string>& services,
                       const Limits& limits = {});
inline constexpr const char* kHost = "desk.example";

// vtadapter processes, one for each machine.
class Fleet {
 public:
  struct Machine {
    std::string service;
    std::string zone = "north-1";
  };
  Fleet(Store* store, std::vector<Machine> machines);
  // Kills and reaps all processes.
  ~Fleet();

  std::string Ip(int machine) const { return MachineIp(machine); }
  uint16_t outbound() const { return m_outbound; }
  uint16_t app() const { return m_app; }
  const std::string& Zone(int machine) const {
    return m_machines[machine].zone;
  }
  void Start(int machine);
  void Signal(int machine, int signal);
  // Whether the process has ended; reaps it.
  bool HasEnded(int machine);
  // Whether the process is ready for work.
  bool IsReady(int machine);
  // Waits until all machines are ready.
  bool WaitUntilReady(double ms);
  // Resident memory in MB.
  double MemoryMb(int machine);

 private:
  std::string SettingsFile(int machine);

  Store* m_store;
  std::vector<Machine> m_machines;
  std::vector<pid_t> m_pids;
  std::string m_directory;
  uint16_t m_inbound;
  uint16_t m_outbound;
  uint16_t m_ready;
  uint16_t m_app;
};

// An answer as a client saw it.
struct Reading {
  size_t read = 0;
  size_t expected = 0;
  int status = 0;
  bool has_signature = false;
  // When the last byte was read, or the connection ended.
  double ended = 0;
  // A success with the server's whole body.
  bool IsComplete() const {
    return status == 200 && has_signature && expected > 0 && read >= expected;
  }
  // The connection ended before an answer of any kind was complete.
  bool IsCut() const { return status == 0 || read < expected; }
};
// Reads one answer steadily, at most `bytes_per_s`; 0 for as fast as it comes.
Reading ReadAnswer(Socket* socket, double bytes_per_s, double until);

std::string RequestText(const std::string& method, const std::string& path,
                        const std::string& id, int deadline_ms);

// Prints and records the verdict; returns the exit status of the script.
int Verdict(bool is_broken, const std::string& what);
// The case could not run.
int CannotRun(const std::string& why);

}  // namespace kit

#endif  // VANILLATILLER_REVIEW_STAND_INS_2_KIT_H_
