// Clients read large answers more slowly than the idle limit of a connection.

#include "kit.h"

namespace {

using namespace kit;

constexpr int kClients = 6;
constexpr size_t kAnswerBytes = 8'000'000;
// A client reads an answer in about 5 s.
constexpr double kBytesPerSecond = 1'600'000;
constexpr int kBudgetMs = 6000;
// The answers are made one after the other.
constexpr double kGapMs = 100;
constexpr int kIdleLimitMs = 2000;
// "more than three times"
constexpr int kAllowed = 3;

int Run() {
  Store store;
  Fleet fleet(&store, {{"desk"}, {"map"}});
  const auto work = [](const Arrival& arrival) {
    SleepMs(100);
    return std::string(arrival.path == "/look/first" ? 100 : kAnswerBytes, 'x');
  };
  Server desk("i-desk", "desk", fleet.Ip(0), fleet.app(), 16, work);
  Server map("i-map", "map", fleet.Ip(1), fleet.app(), 16, work);
  Limits limits;
  limits.idle_timeout_ms = kIdleLimitMs;
  store.Put("op/config",
            ConfigText(1, {{"look", "safe", "/look/", "map", kBudgetMs}},
                       {"desk", "map"}, limits));
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
      // The connection is kept from an earlier request.
      socket->Write(RequestText("GET", "/look/first",
                                "first-" + std::to_string(i), kBudgetMs));
      if (!ReadAnswer(socket.get(), 0, NowMs() + kBudgetMs).IsComplete()) {
        return;
      }
      SleepMs(200);
      sent[i] = NowMs();
      TheRecord().Line("client sends %s on a kept connection", id.c_str());
      socket->Write(
          RequestText("GET", "/look/" + std::to_string(i), id, kBudgetMs));
      answers[i] = ReadAnswer(socket.get(), HasTrouble() ? kBytesPerSecond : 0,
                              sent[i] + kBudgetMs);
      TheRecord().Line(
          "client of %s: status %d, %zu of %zu bytes, ended after %.0f ms, %s",
          id.c_str(), answers[i].status, answers[i].read, answers[i].expected,
          answers[i].ended - sent[i],
          answers[i].IsComplete() ? "complete" : "NOT COMPLETE");
    });
  }
  for (std::thread& client : clients) client.join();
  int cut = 0;
  for (int i = 0; i < kClients; ++i) {
    if (sent[i] == 0) return CannotRun("a first request was not served");
    const bool is_cut = answers[i].IsCut() &&
                        answers[i].ended - sent[i] < kBudgetMs &&
                        map.Runs("slow-" + std::to_string(i)) == 1;
    cut += is_cut ? 1 : 0;
  }
  return Verdict(cut > kAllowed,
                 std::to_string(cut) + " of " + std::to_string(kClients) +
                     " kept connections were closed without a whole answer");
}

}  // namespace

int main() { return Run(); }
