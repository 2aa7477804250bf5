// Servers are overloaded, so calls wait at their nodes. One server is to be
// taken away.

#include <signal.h>

#include <cstdlib>

#include "kit.h"

namespace {

using namespace kit;

// One of them stands still: a tenth.
constexpr int kMachines = 10;
// Of these, the first ones have servers of the overloaded service.
constexpr int kServers = 3;
constexpr int kSlots = 40;
constexpr double kMinWorkMs = 1400;
constexpr double kMaxWorkMs = 2600;
constexpr int kClientsPerMachine = 50;
constexpr int kBudgetMs = 6000;
constexpr double kDrainMs = 2500;

void RunClient(Fleet* fleet, int machine, const std::string& name,
               const std::atomic<bool>* is_over) {
  std::unique_ptr<Socket> socket;
  for (int number = 0; !*is_over; ++number) {
    if (!socket) socket = Connect(fleet->Ip(machine), fleet->outbound());
    if (!socket) return;
    socket->SetReadTimeout(kBudgetMs + 500);
    const std::string id = name + "-" + std::to_string(number);
    socket->Write(RequestText("GET", "/look/1", id, kBudgetMs));
    const double sent = NowMs();
    const auto answer = socket->ReadMessage();
    TheRecord().Line("client %s: sent at %.3f s, status %d", id.c_str(),
                     sent / 1000, answer ? answer->Status() : 0);
    if (!answer) {
      socket.reset();
      continue;
    }
    if (answer->Status() == 200) continue;
    const double after = std::atof(answer->Header("retry-after").c_str());
    SleepMs(std::max(50.0, after * 1000));
  }
}

int Run() {
  Store store;
  std::vector<Fleet::Machine> machines(kMachines, {"desk"});
  for (int i = 0; i < kServers; ++i) machines[i].service = "map";
  Fleet fleet(&store, machines);
  const auto work = [](const Arrival& arrival) {
    const size_t draw = std::hash<std::string>()(arrival.id) % 1000;
    SleepMs(kMinWorkMs + (kMaxWorkMs - kMinWorkMs) * draw / 1000);
    return std::string(600, 'x');
  };
  std::vector<std::unique_ptr<Server>> servers;
  store.Put("op/config",
            ConfigText(1, {{"look", "safe", "/look/", "map", kBudgetMs}},
                       {"map", "desk"}));
  for (int i = 0; i < kMachines; ++i) {
    servers.push_back(std::make_unique<Server>("i-" + std::to_string(i),
                                               machines[i].service, fleet.Ip(i),
                                               fleet.app(), kSlots, work));
    store.Put("servers/i-" + std::to_string(i),
              servers[i]->Entry("ready", fleet.Zone(i)));
    fleet.Start(i);
  }
  if (!fleet.WaitUntilReady(10000)) return CannotRun("not ready");
  SleepMs(6000);
  int reader = -1;
  for (int i = 0; i < kMachines; ++i) {
    if (fleet.IsReader(i)) reader = i;
  }
  if (reader < 0) return CannotRun("no reader");
  const int leaving = reader == 0 ? 1 : 0;
  TheRecord().Line("machine %d reads the store, server i-%d will leave", reader,
                   leaving);
  std::atomic<bool> is_over{false};
  std::vector<std::thread> clients;
  for (int i = 0; i < kMachines; ++i) {
    if (i == reader) continue;
    for (int k = 0; k < kClientsPerMachine; ++k) {
      clients.emplace_back(RunClient, &fleet, i,
                           "c" + std::to_string(i) + "-" + std::to_string(k),
                           &is_over);
    }
  }
  SleepMs(5000);
  if (HasTrouble()) fleet.Signal(reader, SIGSTOP);
  store.Put("servers/i-" + std::to_string(leaving),
            servers[leaving]->Entry("draining", fleet.Zone(leaving)));
  const double drained = NowMs();
  TheRecord().Line("store: i-%d is draining", leaving);
  SleepMs(4500);
  if (HasTrouble()) fleet.Signal(reader, SIGCONT);
  is_over = true;
  for (std::thread& client : clients) client.join();
  int late = 0;
  double latest = 0;
  for (const Arrival& arrival : servers[leaving]->arrivals()) {
    if (arrival.at > drained) latest = std::max(latest, arrival.at - drained);
    if (arrival.at <= drained + kDrainMs) continue;
    ++late;
    TheRecord().Line("%s reached i-%d %.0f ms after that", arrival.id.c_str(),
                     leaving, arrival.at - drained);
  }
  return Verdict(late > 0, std::to_string(late) +
                               " requests reached the draining server after "
                               "2,500 ms, the last after " +
                               std::to_string(static_cast<int>(latest)) +
                               " ms");
}

}  // namespace

int main() { return Run(); }
