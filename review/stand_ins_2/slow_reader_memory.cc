// Many clients of one machine read their answers slowly. The platform kills a
// process that exceeds its memory.

#include <signal.h>

#include "kit.h"

namespace {

using namespace kit;

constexpr int kClients = 200;
constexpr size_t kAnswerBytes = 2'000'000;
// A client reads an answer in about 5 s.
constexpr double kBytesPerSecond = 400'000;
// 125 MB a second, what a link of 1,000 Mbit/s carries.
constexpr double kGapMs = 16;
constexpr int kBudgetMs = 6000;
constexpr double kMemoryMb = 260;
constexpr int kAllowed = 3;

int Run() {
  Store store;
  Fleet fleet(&store, {{"desk"}, {"map"}});
  const auto work = [](const Arrival& arrival) {
    SleepMs(20);
    return std::string(arrival.path == "/look/first" ? 100 : kAnswerBytes, 'x');
  };
  Server desk("i-desk", "desk", fleet.Ip(0), fleet.app(), 64, work);
  Server map("i-map", "map", fleet.Ip(1), fleet.app(), 64, work);
  store.Put("op/config",
            ConfigText(1, {{"look", "safe", "/look/", "map", kBudgetMs}},
                       {"desk", "map"}));
  store.Put("servers/i-desk", desk.Entry("ready", fleet.Zone(0)));
  store.Put("servers/i-map", map.Entry("ready", fleet.Zone(1)));
  fleet.Start(0);
  fleet.Start(1);
  if (!fleet.WaitUntilReady(10000)) return CannotRun("not ready");
  SleepMs(5000);

  std::atomic<bool> is_over{false};
  std::atomic<bool> was_killed{false};
  double peak[2] = {0, 0};
  std::thread platform([&] {
    while (!is_over) {
      for (int machine = 0; machine < 2; ++machine) {
        const double memory = fleet.MemoryMb(machine);
        peak[machine] = std::max(peak[machine], memory);
        if (memory <= kMemoryMb || was_killed) continue;
        TheRecord().Line("machine %d: %.0f MB of memory, limit %.0f MB",
                         machine, memory, kMemoryMb);
        fleet.Signal(machine, SIGKILL);
        was_killed = true;
      }
      SleepMs(20);
    }
  });
  std::vector<Reading> answers(kClients);
  std::vector<double> sent(kClients);
  std::vector<std::thread> clients;
  const double start = NowMs() + 500;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      const std::string id = "slow-" + std::to_string(i);
      const auto socket = Connect(fleet.Ip(0), fleet.outbound(), {32768, 1448});
      if (!socket) return;
      socket->SetReadTimeout(kBudgetMs);
      socket->Write(RequestText("GET", "/look/first",
                                "first-" + std::to_string(i), kBudgetMs));
      if (!ReadAnswer(socket.get(), 0, NowMs() + kBudgetMs).IsComplete()) {
        return;
      }
      SleepMs(start + i * kGapMs - NowMs());
      sent[i] = NowMs();
      socket->Write(
          RequestText("GET", "/look/" + std::to_string(i), id, kBudgetMs));
      answers[i] = ReadAnswer(socket.get(), HasTrouble() ? kBytesPerSecond : 0,
                              sent[i] + kBudgetMs);
      TheRecord().Line(
          "client of %s: sent at %.3f s, status %d, %zu of %zu bytes, ended "
          "after %.0f ms, %s",
          id.c_str(), sent[i] / 1000, answers[i].status, answers[i].read,
          answers[i].expected, answers[i].ended - sent[i],
          answers[i].IsComplete() ? "complete" : "NOT COMPLETE");
    });
  }
  for (std::thread& client : clients) client.join();
  is_over = true;
  platform.join();
  TheRecord().Line("peak memory: %.0f MB and %.0f MB", peak[0], peak[1]);
  int cut = 0;
  for (int i = 0; i < kClients; ++i) {
    const bool is_cut = sent[i] > 0 && answers[i].IsCut() &&
                        answers[i].ended - sent[i] < kBudgetMs &&
                        map.Runs("slow-" + std::to_string(i)) == 1;
    cut += is_cut ? 1 : 0;
  }
  return Verdict(was_killed && cut > kAllowed,
                 "a process needed " +
                     std::to_string(static_cast<int>(peak[0])) + " MB; " +
                     std::to_string(cut) +
                     " requests that had run were cut on kept connections");
}

}  // namespace

int main() { return Run(); }
