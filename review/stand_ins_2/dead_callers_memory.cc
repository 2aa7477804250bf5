// Machines whose processes are killed leave answers behind at the machine that
// ran their requests. The platform kills a process that exceeds its memory.

#include <signal.h>

#include "kit.h"

namespace {

using namespace kit;

constexpr int kMachines = 10;
// "herd_kill: share (.6) are killed at once": machines 1 to 6.
constexpr int kKilled = 6;
constexpr int kHerdKills = 6;
constexpr double kBetweenMs = 3000;
constexpr double kDownMs = 3000;
constexpr int kClientsPerMachine = 40;
constexpr int kOwnClients = 8;
constexpr int kSlots = 72;
constexpr double kWorkMs = 500;
constexpr size_t kAnswerBytes = 300'000;
constexpr int kBudgetMs = 5000;
constexpr double kMemoryMb = 260;
constexpr int kAllowed = 3;

struct Fates {
  std::atomic<int> answered{0};
  std::atomic<int> refused{0};
  std::atomic<int> failed{0};
  // Passed on to the server, but the connection was closed without an answer.
  std::atomic<int> cut{0};
};

void RunClient(Fleet* fleet, Server* server, int machine,
               const std::string& method, const std::string& path,
               const std::string& name, const std::atomic<bool>* is_over,
               Fates* fates) {
  std::unique_ptr<Socket> socket;
  bool is_kept = false;
  for (int number = 0; !*is_over; ++number) {
    if (!socket) {
      socket = Connect(fleet->Ip(machine), fleet->outbound());
      is_kept = false;
    }
    if (!socket) {
      SleepMs(100);
      continue;
    }
    socket->SetReadTimeout(kBudgetMs + 500);
    const std::string id = name + "-" + std::to_string(number);
    socket->Write(RequestText(method, path, id, kBudgetMs));
    const double sent = NowMs();
    const auto answer = socket->ReadMessage();
    TheRecord().Line("client %s: sent at %.3f s, status %d", id.c_str(),
                     sent / 1000, answer ? answer->Status() : 0);
    if (!answer) {
      if (is_kept && !*is_over && server->Runs(id) > 0) ++fates->cut;
      socket.reset();
      SleepMs(50);
      continue;
    }
    is_kept = true;
    if (answer->Status() == 200) {
      ++fates->answered;
      continue;
    }
    ++(answer->Status() == 503 ? fates->refused : fates->failed);
    SleepMs(std::max(50.0,
                     std::atof(answer->Header("retry-after").c_str()) * 1000));
  }
}

int Run() {
  Store store;
  std::vector<Fleet::Machine> machines(kMachines, {"desk"});
  machines[0].service = "map";
  Fleet fleet(&store, machines);
  const auto work = [](const Arrival& arrival) {
    SleepMs(kWorkMs);
    return std::string(arrival.method == "POST" ? kAnswerBytes : 600, 'x');
  };
  Server map("i-map", "map", fleet.Ip(0), fleet.app(), kSlots, work);
  store.Put("op/config",
            ConfigText(1,
                       {{"book", "unsafe", "/book/", "map", kBudgetMs},
                        {"look", "safe", "/look/", "map", kBudgetMs}},
                       {"desk", "map"}));
  store.Put("servers/i-map", map.Entry("ready", fleet.Zone(0)));
  for (int i = 0; i < kMachines; ++i) fleet.Start(i);
  if (!fleet.WaitUntilReady(10000)) return CannotRun("not ready");
  SleepMs(5000);

  std::atomic<bool> is_over{false};
  std::atomic<bool> was_killed{false};
  double peak = 0;
  Fates own;
  Fates others;
  std::thread platform([&] {
    double logged = 0;
    while (!is_over) {
      const double memory = fleet.MemoryMb(0);
      peak = std::max(peak, memory);
      if (memory > logged + 20) {
        logged = memory;
        TheRecord().Line("machine 0: %.0f MB of memory", memory);
      }
      if (memory > kMemoryMb && !was_killed) {
        TheRecord().Line("machine 0: %.0f MB of memory, limit %.0f MB", memory,
                         kMemoryMb);
        fleet.Signal(0, SIGKILL);
        was_killed = true;
      }
      SleepMs(20);
    }
  });
  std::vector<std::thread> clients;
  for (int i = 1; i <= kKilled; ++i) {
    for (int k = 0; k < kClientsPerMachine; ++k) {
      clients.emplace_back(RunClient, &fleet, &map, i, "POST", "/book/1",
                           "b" + std::to_string(i) + "-" + std::to_string(k),
                           &is_over, &others);
    }
  }
  for (int k = 0; k < kOwnClients; ++k) {
    clients.emplace_back(RunClient, &fleet, &map, 0, "GET", "/look/1",
                         "own-" + std::to_string(k), &is_over, &own);
  }
  for (int kill = 0; kill < kHerdKills && !was_killed; ++kill) {
    SleepMs(kBetweenMs);
    if (!HasTrouble()) {
      SleepMs(kDownMs);
      continue;
    }
    for (int i = 1; i <= kKilled; ++i) fleet.Signal(i, SIGKILL);
    SleepMs(kDownMs);
    for (int i = 1; i <= kKilled; ++i) {
      while (!fleet.HasEnded(i)) SleepMs(10);
      fleet.Start(i);
    }
  }
  SleepMs(2000);
  is_over = true;
  for (std::thread& client : clients) client.join();
  platform.join();
  TheRecord().Line(
      "own clients of machine 0: %d answered, %d refused, %d failed, %d cut",
      own.answered.load(), own.refused.load(), own.failed.load(),
      own.cut.load());
  TheRecord().Line("others: %d answered, %d refused, %d failed, %d cut",
                   others.answered.load(), others.refused.load(),
                   others.failed.load(), others.cut.load());
  return Verdict(was_killed && own.cut > kAllowed,
                 "the process of machine 0, which had no disruption, needed " +
                     std::to_string(static_cast<int>(peak)) + " MB; " +
                     std::to_string(own.cut) +
                     " requests that had run there were cut");
}

}  // namespace

int main() { return Run(); }
