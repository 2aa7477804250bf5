// Case: a machine loses power while it works on the first request that another
// machine ever sent to it.
//
// Machine a (region north) has the client. Machines b and c (region central)
// hold the two servers of the service, and two more machines fill their zone,
// so that a has not talked to b or c before. The links between the regions take
// 30 ms one way. The client sends one unsafe request. As soon as a server works
// on it, that server's machine loses power for 700 ms; its node starts again
// when the power is back. The server itself is on a machine of its own here and
// stays, so that the runs can be counted.

#include <signal.h>
#include <unistd.h>

#include <memory>
#include <thread>

#include "harness.h"

using namespace review;

namespace {

constexpr int kOneWayMs = 30;
constexpr int kDarkMs = 700;
constexpr int kDeadlineMs = 5000;
constexpr int kTimeoutMs = 2000;

struct Setup {
  std::unique_ptr<Fleet> fleet;
  Machine* a = nullptr;
  // Machines with servers of the called service, and their links.
  Machine* servers[2] = {};
  Link* links[2] = {};
};

// Nullopt if machine a is connected to one of the servers' nodes already.
std::optional<Setup> TrySetup() {
  Setup setup;
  setup.fleet = std::make_unique<Fleet>(
      Rule("r-1", "/book/", "unsafe", "beta", kTimeoutMs));
  Fleet& fleet = *setup.fleet;
  setup.a = fleet.AddMachine("alpha");
  std::vector<Machine*> all = {setup.a};
  for (int i = 0; i < 2; ++i) {
    Machine* machine = fleet.AddMachine("beta", "fortkochi", true);
    setup.servers[i] = machine;
    setup.links[i] = new Link(fleet.PeerAddress(*machine),
                              fleet.PeerListener(*machine), kOneWayMs);
    all.push_back(machine);
  }
  for (int i = 0; i < 2; ++i) {
    all.push_back(fleet.AddMachine("alpha", "fortkochi"));
  }
  for (Machine* machine : all) fleet.StartNode(machine);
  for (Machine* machine : all) {
    if (!fleet.WaitReady(*machine)) CannotRun("a node does not become ready");
  }
  // stable_window_ms after the start.
  SleepMs(4500);
  if (setup.links[0]->Accepted() + setup.links[1]->Accepted() > 0) {
    return std::nullopt;
  }
  return setup;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  OpenRecord(argv[1]);
  std::optional<Setup> setup;
  // Which node of a zone reads the store for the others depends on addresses.
  for (int i = 0; i < 10 && !setup; ++i) {
    Record("setup " + std::to_string(i + 1));
    setup = TrySetup();
  }
  if (!setup) CannotRun("the nodes know each other in every setup");
  Fleet& fleet = *setup->fleet;
  fleet.is_first_start = false;
  const std::string id = "9c41d07be2a35f68";
  std::thread client([&] {
    const int fd = ConnectTo(fleet.Outbound(*setup->a));
    Record("client sends " + id);
    SendAll(fd, RequestText("POST", "/book/pitch?ms=300&bytes=400", id,
                            kDeadlineMs, "pitch=12"));
    const auto answer = MessageReader(fd).Next();
    Record("client gets " +
           (answer ? std::to_string(answer->Status()) : "no answer"));
    close(fd);
  });
  if (!fleet.runs.WaitFor(id, 3000)) CannotRun("the request was not run");
  if (Trouble()) {
    const int hit =
        fleet.runs.Runs()[0].server == setup->servers[0]->server_id ? 0 : 1;
    Machine* machine = setup->servers[hit];
    setup->links[hit]->GoDark();
    fleet.Signal(machine, SIGKILL);
    Record("machine " + machine->name + " has lost its power");
    SleepMs(kDarkMs);
    fleet.StartNode(machine);
    if (!fleet.WaitReady(*machine)) CannotRun("the node does not start again");
    setup->links[hit]->Restore();
    Record("machine " + machine->name + " is back");
  }
  client.join();
  // Time for a late second run.
  SleepMs(2500);
  const size_t runs = fleet.runs.Count(id);
  Record("the unsafe request ran " + std::to_string(runs) + " times: TWICE " +
         (runs > 1 ? "broken" : "held"));
  return runs > 1 ? 1 : 0;
}
