// A server starts again under its ID after its machine's clock was set back.
// Later it is taken away.

#include <cstdlib>

#include "kit.h"

namespace {

using namespace kit;

// One machine of the clients, and those of the service. One server of seven
// crashes, and the clock of one machine of eight is set back.
constexpr int kServers = 7;
constexpr int kClockStepMs = -2000;
// The server starts again this long after its first start.
constexpr double kRunMs = 1000;
constexpr double kDownMs = 500;
constexpr int kClients = 24;
constexpr double kWorkMs = 300;
constexpr int kBudgetMs = 5000;
constexpr double kDrainMs = 2500;
// "drain_ms after the store has accepted that report and a little longer (at
// times many seconds)"
constexpr double kServesMs = 6000;

struct Fates {
  std::atomic<int> answered{0};
  std::atomic<int> refused{0};
  // Unsafe requests that had run and were answered with a failure, or cut.
  std::atomic<int> lost{0};
};

void RunClient(Fleet* fleet, const std::string& name,
               const std::atomic<bool>* is_over, Fates* fates) {
  std::unique_ptr<Socket> socket;
  for (int number = 0; !*is_over; ++number) {
    if (!socket) socket = Connect(fleet->Ip(0), fleet->outbound());
    if (!socket) return;
    socket->SetReadTimeout(kBudgetMs + 500);
    const std::string id = name + "-" + std::to_string(number);
    const double sent = NowMs();
    socket->Write(RequestText("POST", "/book/1", id, kBudgetMs));
    const auto answer = socket->ReadMessage();
    const int status = answer ? answer->Status() : 0;
    TheRecord().Line("client %s: sent at %.3f s, status %d", id.c_str(),
                     sent / 1000, status);
    if (!answer) socket.reset();
    if (status == 200) {
      ++fates->answered;
    } else if (status == 503) {
      ++fates->refused;
      SleepMs(100);
    } else {
      ++fates->lost;
    }
  }
}

int Run() {
  Store store;
  std::vector<Fleet::Machine> machines(1 + kServers, {"map"});
  machines[0].service = "desk";
  Fleet fleet(&store, machines);
  const auto work = [](const Arrival&) {
    SleepMs(kWorkMs);
    return std::string(600, 'x');
  };
  const auto make = [&](const std::string& id, int machine, int clock_ms) {
    return std::make_unique<Server>(id, machines[machine].service,
                                    fleet.Ip(machine), fleet.app(), 16, work,
                                    clock_ms);
  };
  auto server = make("i-map", 1, 0);
  std::vector<std::unique_ptr<Server>> others;
  store.Put("op/config",
            ConfigText(1, {{"book", "unsafe", "/book/", "map", kBudgetMs}},
                       {"desk", "map"}));
  for (int i = 0; i <= kServers; ++i) {
    if (i == 1) continue;
    const std::string id = "i-" + std::to_string(i);
    others.push_back(make(id, i, 0));
    store.Put("servers/" + id, others.back()->Entry("ready", fleet.Zone(i)));
  }
  store.Put("servers/i-map", server->Entry("ready", fleet.Zone(1)));
  TheRecord().Line("server i-map starts: %s",
                   server->Entry("ready", fleet.Zone(1)).c_str());
  const double started = NowMs();
  for (int i = 0; i <= kServers; ++i) fleet.Start(i);
  SleepMs(started + kRunMs - NowMs());
  server.reset();
  TheRecord().Line("server i-map crashes");
  SleepMs(kDownMs);
  server = make("i-map", 1, HasTrouble() ? kClockStepMs : 0);
  store.Put("servers/i-map", server->Entry("ready", fleet.Zone(1)));
  TheRecord().Line("server i-map starts again: %s",
                   server->Entry("ready", fleet.Zone(1)).c_str());
  if (!fleet.WaitUntilReady(10000)) return CannotRun("not ready");
  // More than stable_window_ms after the last disturbance.
  SleepMs(8000);

  std::atomic<bool> is_over{false};
  Fates fates;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(RunClient, &fleet, "c" + std::to_string(i), &is_over,
                         &fates);
  }
  SleepMs(3000);
  const size_t before = server->arrivals().size();
  store.Put("servers/i-map", server->Entry("draining", fleet.Zone(1)));
  const double drained = NowMs();
  TheRecord().Line("store: i-map is draining");
  SleepMs(kServesMs);
  const std::vector<Arrival> arrivals = server->arrivals();
  TheRecord().Line("server i-map ends");
  server.reset();
  store.Remove("servers/i-map");
  SleepMs(2000);
  is_over = true;
  for (std::thread& client : clients) client.join();
  int late = 0;
  double latest = 0;
  for (const Arrival& arrival : arrivals) {
    if (arrival.at <= drained + kDrainMs) continue;
    ++late;
    latest = std::max(latest, arrival.at - drained);
  }
  TheRecord().Line("%zu requests reached i-map before it was draining", before);
  TheRecord().Line("%d answered, %d refused, %d unsafe requests failed",
                   fates.answered.load(), fates.refused.load(),
                   fates.lost.load());
  if (before == 0) return CannotRun("the server got no request");
  return Verdict(late > 0, std::to_string(late) +
                               " requests reached the draining server after "
                               "2,500 ms, the last after " +
                               std::to_string(static_cast<int>(latest)) +
                               " ms; " + std::to_string(fates.lost.load()) +
                               " unsafe requests failed");
}

}  // namespace

int main() { return Run(); }
