// A machine gets SIGTERM while its clients still read answers that the server
// has finished.

#include <signal.h>

#include "kit.h"

namespace {

using namespace kit;

constexpr int kClients = 4;
constexpr size_t kAnswerBytes = 8'000'000;
// A client reads an answer in about 5 s.
constexpr double kBytesPerSecond = 1'600'000;
// Time budget of the client and timeout of the route.
constexpr int kBudgetMs = 6000;
// The answers are made one after the other.
constexpr double kGapMs = 100;
constexpr double kTermAfterMs = 900;
constexpr double kGraceMs = 6000;

int Run() {
  Store store;
  Fleet fleet(&store, {{"desk"}, {"map"}});
  const auto work = [](const Arrival&) {
    SleepMs(200);
    return std::string(kAnswerBytes, 'x');
  };
  Server desk("i-desk", "desk", fleet.Ip(0), fleet.app(), 16, work);
  Server map("i-map", "map", fleet.Ip(1), fleet.app(), 16, work);
  store.Put("op/config",
            ConfigText(1, {{"book", "unsafe", "/book/", "map", kBudgetMs}},
                       {"desk", "map"}));
  store.Put("servers/i-desk", desk.Entry("ready", fleet.Zone(0)));
  store.Put("servers/i-map", map.Entry("ready", fleet.Zone(1)));
  fleet.Start(0);
  fleet.Start(1);
  if (!fleet.WaitUntilReady(10000)) return CannotRun("not ready");
  // stable_window_ms, so that the machines are in touch.
  SleepMs(5000);

  std::vector<Reading> answers(kClients);
  std::vector<double> sent(kClients);
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      const std::string id = "slow-" + std::to_string(i);
      SleepMs(i * kGapMs);
      const auto socket = Connect(fleet.Ip(0), fleet.outbound(), {32768, 1448});
      if (!socket) return;
      socket->SetReadTimeout(kBudgetMs);
      sent[i] = NowMs();
      TheRecord().Line("client sends %s", id.c_str());
      socket->Write(
          RequestText("POST", "/book/" + std::to_string(i), id, kBudgetMs));
      answers[i] =
          ReadAnswer(socket.get(), kBytesPerSecond, sent[i] + kBudgetMs);
      TheRecord().Line(
          "client of %s: status %d, %zu of %zu bytes, ended after %.0f ms, %s",
          id.c_str(), answers[i].status, answers[i].read, answers[i].expected,
          answers[i].ended - sent[i],
          answers[i].IsComplete() ? "complete" : "NOT COMPLETE");
    });
  }
  SleepMs(kTermAfterMs);
  if (HasTrouble()) {
    fleet.Signal(0, SIGTERM);
    const double term = NowMs();
    while (!fleet.HasEnded(0) && NowMs() < term + kGraceMs) SleepMs(10);
    TheRecord().Line("%.0f ms of %.0f ms of grace were used", NowMs() - term,
                     kGraceMs);
  }
  for (std::thread& client : clients) client.join();
  int cut = 0;
  for (int i = 0; i < kClients; ++i) {
    const bool is_cut = answers[i].IsCut() &&
                        answers[i].ended - sent[i] < kBudgetMs &&
                        map.Runs("slow-" + std::to_string(i)) == 1;
    cut += is_cut ? 1 : 0;
  }
  return Verdict(cut > 0,
                 std::to_string(cut) + " of " + std::to_string(kClients) +
                     " requests that had run ended without a complete answer");
}

}  // namespace

int main() { return Run(); }
