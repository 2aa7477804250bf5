// Crowds of clients that do not keep to the limits at the public listener of
// vanillatillerd. None of them may end the process, drive it over its memory,
// or keep an ordinary client from being served.

#define BOOST_TEST_MODULE hostile_client_node
#include <signal.h>

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <string>
#include <thread>

#include "absl/strings/str_format.h"
#include "crowd_client.h"
#include "process_fleet.h"

namespace vanillatiller {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kKiB = 1024;
constexpr size_t kMiB = 1024 * kKiB;
constexpr double kMemoryMb = 128;
constexpr size_t kDescriptors = 400;

constexpr std::string_view kConfig = R"(version = 1
[[rank]]
name = "normal"
order = 0
[[service]]
name = "records"
slots = 16
[[service.method]]
name = "find"
rank = "normal"
idempotent = true
timeout_ms = 5000
)";

constexpr const char* kSettings =
    "[limits]\nmax_body_bytes = 4194304\nmax_http_threads = 100\n";

// As in the programs: a write to a connection that the peer has closed must not
// end the process.
[[maybe_unused]] const auto kEarlierSigpipeHandler =
    std::signal(SIGPIPE, SIG_IGN);

double MemoryMb(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("RssAnon:")) {
      return std::strtod(line.c_str() + 8, nullptr) * 1024 / 1e6;
    }
  }
  return 0;
}

size_t Descriptors(pid_t pid) {
  size_t count = 0;
  std::error_code gone;
  for ([[maybe_unused]] const auto& entry : std::filesystem::directory_iterator(
           "/proc/" + std::to_string(pid) + "/fd", gone)) {
    ++count;
  }
  return count;
}

// Status of an ordinary request, which is sent again while it is refused or
// gets no answer.
int SendOrdinary(const ProcessFleet& fleet) {
  constexpr int kTries = 100;
  int status = 0;
  for (int i = 0; i < kTries && status != 200; ++i) {
    const auto result = fleet.Post(0, "/records/find", {}, "{}");
    status = result ? result->status : 0;
    if (status != 200) std::this_thread::sleep_for(milliseconds(200));
  }
  return status;
}

void RunFor(EventLoop* loop, const std::function<bool()>& done, Duration time) {
  const TimePoint end = BootClock::now() + time;
  std::function<void(TimePoint)> poll = [&](TimePoint now) {
    if (done() || now >= end) {
      loop->Stop();
      return;
    }
    loop->Schedule(now + milliseconds(2), poll);
  };
  loop->Schedule(BootClock::now(), poll);
  loop->Run();
}

void RunCrowd(const Crowd& crowd) {
  ProcessFleet::ServerSpec spec;
  spec.vm = "vm-1";
  spec.service = "records";
  spec.extra_settings = kSettings;
  ProcessFleet fleet(kConfig, {spec});
  BOOST_TEST_REQUIRE(fleet.WaitUntilReady(seconds(20)));
  const pid_t pid = fleet.server(0).node_pid;
  double peak_mb = 0;
  size_t peak_descriptors = 0;
  const auto sample = [&] {
    peak_mb = std::max(peak_mb, MemoryMb(pid));
    peak_descriptors = std::max(peak_descriptors, Descriptors(pid));
  };
  EventLoop loop;
  const SocketAddress address = {
      "127.0.0.1", static_cast<uint16_t>(fleet.server(0).public_port)};
  CrowdClients clients;
  for (size_t i = 0; i < crowd.clients; ++i) {
    clients.push_back(std::make_unique<CrowdClient>(
        &loop, address, &crowd, "crowd-" + std::to_string(i),
        "POST /records/find HTTP/1.1\r\nHost: a\r\n"));
  }
  RunFor(
      &loop,
      [&] {
        sample();
        return ContinueAll(clients);
      },
      seconds(30));
  RunFor(
      &loop,
      [&] {
        sample();
        ContinueAll(clients);
        return false;
      },
      seconds(2));
  // The crowd still holds its connections.
  BOOST_TEST(SendOrdinary(fleet) == 200);
  sample();
  std::map<int, size_t> answers;
  for (const auto& client : clients) ++answers[client->Status()];
  for (const auto& [status, count] : answers) {
    BOOST_TEST_MESSAGE("status " << status << ": " << count << " clients");
    BOOST_TEST((status == 0 || status == 400 || status == 408 ||
                status == 413 || status == 503));
  }
  clients.clear();
  BOOST_TEST(SendOrdinary(fleet) == 200);
  sample();
  BOOST_TEST_MESSAGE("at most " << peak_mb << " MB, " << peak_descriptors
                                << " descriptors");
  BOOST_TEST(kill(pid, 0) == 0);
  BOOST_TEST(MemoryMb(pid) > 0);
  BOOST_TEST(peak_mb <= kMemoryMb);
  BOOST_TEST(peak_descriptors <= kDescriptors);
}

BOOST_AUTO_TEST_CASE(WholeBodies) {
  RunCrowd(
      {60, LengthFields(4 * kMiB), std::string(256 * kKiB, 'x'), 4 * kMiB - 1});
}

BOOST_AUTO_TEST_CASE(BodiesInPieces) {
  RunCrowd({90, LengthFields(2 * kMiB), std::string(16 * kKiB, 'x'),
            2 * kMiB - 1, milliseconds(5)});
}

BOOST_AUTO_TEST_CASE(LargeChunks) {
  const std::string chunk = MakeChunk(64 * kKiB);
  RunCrowd({90, kChunkedFields, chunk, 32 * chunk.size()});
}

BOOST_AUTO_TEST_CASE(SmallChunks) {
  const std::string chunk = MakeChunk(1);
  std::string piece;
  for (size_t i = 0; i < 4 * kKiB; ++i) piece += chunk;
  RunCrowd({90, kChunkedFields, piece, 25 * piece.size()});
}

BOOST_AUTO_TEST_CASE(AnnouncedBeyondTheLimit) {
  RunCrowd({40, LengthFields(10'000'000'000), std::string(64 * kKiB, 'x'),
            7 * kMiB});
}

BOOST_AUTO_TEST_CASE(ChunkedBeyondTheLimit) {
  const std::string chunk = MakeChunk(64 * kKiB);
  RunCrowd({24, kChunkedFields, chunk, 256 * chunk.size()});
}

BOOST_AUTO_TEST_CASE(IdleConnections) { RunCrowd({600, "", "X", 1}); }

}  // namespace
}  // namespace vanillatiller
