// Case: the platform's store turns three of nine machines away, without a word.
//
// Nine machines in three zones. Each machine holds a client that sends one
// request a quarter of a second; the route leads to service alpha. 26 s after
// the start the store stops answering three machines: those that watch it. A
// second later the operator moves the route to service beta. The other six
// machines reach the store all the time, so that they must follow within
// config_apply_ms.

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <map>
#include <thread>

#include "harness.h"

using namespace review;

namespace {

constexpr int kDeadlineMs = 2500;
constexpr double kConfigApplySeconds = 2.5;
constexpr double kTurnedAwaySeconds = 9;
const char* const kZones[] = {"kozhikode", "fortkochi", "kovalam"};

struct Sent {
  std::string id;
  const Machine* machine = nullptr;
  double at = 0;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  OpenRecord(argv[1]);
  Fleet fleet(Rule("r-1", "/x/", "safe", "alpha", 1500));
  std::vector<Machine*> machines;
  std::map<std::string, std::string> service_of;
  for (int i = 0; i < 9; ++i) {
    machines.push_back(
        fleet.AddMachine(i / 3 == i % 3 ? "beta" : "alpha", kZones[i / 3]));
    service_of[machines.back()->server_id] = machines.back()->service;
  }
  for (Machine* machine : machines) fleet.StartNode(machine);
  for (Machine* machine : machines) {
    if (!fleet.WaitReady(*machine)) CannotRun("a node does not become ready");
  }
  std::mutex mutex;
  std::vector<Sent> sent;
  std::atomic<bool> is_over{false};
  std::vector<std::thread> clients;
  for (const Machine* machine : machines) {
    clients.emplace_back([&, machine] {
      const int fd = ConnectTo(fleet.Outbound(*machine));
      MessageReader reader(fd);
      for (int i = 0; !is_over; ++i) {
        const std::string id =
            machine->server_id + "-" + std::to_string(i);
        {
          const std::lock_guard<std::mutex> lock(mutex);
          sent.push_back({id, machine, Now()});
        }
        if (!SendAll(fd, RequestText("GET", "/x/a?ms=5&bytes=50", id,
                                     kDeadlineMs)) ||
            !reader.Next()) {
          break;
        }
        SleepMs(250);
      }
      close(fd);
    });
  }
  SleepMs(26000);
  std::vector<const Machine*> turned_away;
  for (const Machine* machine : machines) {
    if (fleet.store()->IsWatched(fleet.StoreIp(*machine))) {
      turned_away.push_back(machine);
    }
  }
  Record(std::to_string(turned_away.size()) + " of 9 machines watch the store");
  if (turned_away.empty() || turned_away.size() > 3) {
    CannotRun("not one to three machines watch the store");
  }
  const double began = Now();
  if (Trouble()) {
    for (const Machine* machine : turned_away) {
      fleet.store()->TurnAway(fleet.StoreIp(*machine));
      Record("the store turns " + machine->name + " away");
    }
  }
  SleepMs(1000);
  fleet.PutConfig(8, Rule("r-1", "/x/", "safe", "beta", 1500));
  const double acknowledged = Now();
  Record("version 8 is acknowledged: the route leads to beta");
  SleepMs(static_cast<int>((began + kTurnedAwaySeconds - Now()) * 1000));
  for (const Machine* machine : turned_away) {
    fleet.store()->ServeAgain(fleet.StoreIp(*machine));
  }
  if (Trouble()) Record("the store serves all machines again");
  is_over = true;
  for (std::thread& client : clients) client.join();
  std::map<std::string, std::string> ran_by;
  for (const Run& run : fleet.runs.Runs()) ran_by[run.id] = run.server;
  size_t late = 0;
  size_t after = 0;
  double latest = 0;
  for (const Sent& request : sent) {
    const bool in_touch = std::find(turned_away.begin(), turned_away.end(),
                                    request.machine) == turned_away.end();
    if (!in_touch || request.at <= acknowledged + kConfigApplySeconds) continue;
    if (!ran_by.contains(request.id)) continue;
    ++after;
    if (service_of[ran_by[request.id]] != "alpha") continue;
    ++late;
    latest = std::max(latest, request.at - acknowledged);
    if (late > 12) continue;
    Record("request " + request.id + ", sent by a client of " +
           request.machine->name + " " +
           std::to_string(static_cast<int>((request.at - acknowledged) * 1000)) +
           " ms after version 8, was run by " + ran_by[request.id] +
           " of service alpha");
  }
  Record("machines in touch: " + std::to_string(late) + " of " +
         std::to_string(after) +
         " requests sent more than 2500 ms after the acknowledgement were run "
         "by the old service, the last one sent " +
         std::to_string(static_cast<int>(latest * 1000)) +
         " ms after it: CONFIG " + (late > 0 ? "broken" : "held"));
  return late > 0 ? 1 : 0;
}
