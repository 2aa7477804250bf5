// Case: clients read their answers slowly, within their time budget.
//
// Eight clients on kept connections send one quick request, then one whose
// answer is as long as the largest of the site (36,000 bytes). They read it in
// pieces with pauses. The server answers after 100 ms. Each client must get the
// whole answer: nothing was killed, stopped, cut or changed.

#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <thread>

#include "harness.h"

using namespace review;

namespace {

constexpr int kClients = 8;
constexpr int kDeadlineMs = 5000;
constexpr int kAnswerBytes = 36000;
constexpr int kReceiveBuffer = 4096;

struct Result {
  bool was_complete = false;
  bool was_in_time = false;
  size_t received = 0;
  double seconds = 0;
  std::string end;
};

// Reads until the answer is complete or the connection ends. Pauses before
// reading on once `pause_after` bytes have been read.
Result ReadAnswer(int fd, size_t pause_after, int pause_ms) {
  Result result;
  const double start = Now();
  std::string data;
  size_t needed = SIZE_MAX;
  bool has_paused = false;
  char buffer[2048];
  while (data.size() < needed) {
    if (!has_paused && data.size() >= pause_after) {
      has_paused = true;
      SleepMs(pause_ms);
    }
    const ssize_t count = recv(fd, buffer, sizeof(buffer), 0);
    if (count <= 0) {
      result.end = count == 0 ? "closed" : "reset";
      break;
    }
    data.append(buffer, static_cast<size_t>(count));
    const size_t head = data.find("\r\n\r\n");
    if (needed == SIZE_MAX && head != std::string::npos) {
      needed = head + 4 + kAnswerBytes;
    }
  }
  result.received = data.size();
  result.seconds = Now() - start;
  result.was_complete = data.size() == needed;
  result.was_in_time = result.seconds * 1000 < kDeadlineMs;
  return result;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  OpenRecord(argv[1]);
  const int pause_ms = Trouble() ? 3200 : 0;
  Fleet fleet(Rule("r-1", "/slow/", "unsafe", "alpha", kDeadlineMs));
  Machine* machine = fleet.AddMachine("alpha");
  fleet.StartNode(machine);
  if (!fleet.WaitReady(*machine)) CannotRun("the node does not become ready");
  // The machine is in touch after stable_window_ms.
  SleepMs(4500);
  std::vector<Result> results(kClients);
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      const int fd = ConnectTo(fleet.Outbound(*machine), kReceiveBuffer);
      const std::string id = "c" + std::to_string(i);
      SendAll(fd, RequestText("POST", "/slow/a?ms=10&bytes=100", id + "-1",
                              kDeadlineMs));
      if (!MessageReader(fd).Next()) CannotRun("the first request failed");
      SendAll(fd, RequestText("POST",
                              "/slow/a?ms=100&bytes=" +
                                  std::to_string(kAnswerBytes),
                              id + "-2", kDeadlineMs));
      results[i] = ReadAnswer(fd, 4000, pause_ms);
      close(fd);
    });
  }
  for (std::thread& client : clients) client.join();
  int cut = 0;
  for (int i = 0; i < kClients; ++i) {
    const Result& result = results[i];
    const std::string id = "c" + std::to_string(i) + "-2";
    const bool is_cut = !result.was_complete && result.was_in_time &&
                        fleet.runs.Count(id) == 1;
    cut += is_cut ? 1 : 0;
    Record("client " + id + ": " +
           (result.was_complete ? "whole answer"
                                : "no whole answer, connection " + result.end) +
           ", " + std::to_string(result.received) + " bytes, " +
           std::to_string(static_cast<int>(result.seconds * 1000)) +
           " ms after the request, runs " +
           std::to_string(fleet.runs.Count(id)));
  }
  const bool is_ended = fleet.HasEnded(machine);
  Record("node ended by itself: " + std::string(is_ended ? "yes" : "no"));
  // LOST: more than three times.
  const bool is_broken = cut > 3;
  Record(std::to_string(cut) +
         " kept connections ended without a whole answer before the time "
         "budget: LOST " +
         (is_broken ? "broken" : "held"));
  return is_broken ? 1 : 0;
}
