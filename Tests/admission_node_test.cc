#define BOOST_TEST_MODULE admission_node
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "process_fleet.h"

namespace vanillatiller {
namespace {

using std::chrono::seconds;

constexpr std::string_view kConfig = R"(version = 1
[[rank]]
name = "urgent"
order = 0
protected = true
[[rank]]
name = "batch"
order = 1
[[service]]
name = "front"
slots = 64
[[service.method]]
name = "book"
rank = "urgent"
idempotent = true
timeout_ms = 10000
calls = ["back.reserve"]
[[service.method]]
name = "list"
rank = "batch"
idempotent = true
timeout_ms = 10000
calls = ["back.find"]
[[service]]
name = "back"
slots = 4
[[service.method]]
name = "reserve"
rank = "urgent"
idempotent = true
timeout_ms = 10000
[[service.method]]
name = "find"
rank = "batch"
idempotent = true
timeout_ms = 10000
)";

// Counts responses by outcome and reason.
class OutcomeCounts {
 public:
  void Add(const httplib::Result& result) {
    const std::lock_guard lock(m_mutex);
    if (!result) {
      ++m_counts["lost"];
      return;
    }
    const std::string outcome = result->get_header_value("X-Vt-Outcome");
    const std::string reason = result->get_header_value("X-Vt-Reason");
    ++m_counts[result->status == 200 ? "ok" : outcome + " " + reason];
    if (result->status == 200) return;
    if (result->get_header_value("X-Vt-Refused-By").empty()) {
      ++m_counts["unnamed"];
    }
  }

  int Count(const std::string& kind) const {
    const auto found = m_counts.find(kind);
    return found == m_counts.end() ? 0 : found->second;
  }
  int Total() const {
    int total = 0;
    for (const auto& [kind, count] : m_counts) total += count;
    return total;
  }
  std::string ToString() const { return nlohmann::json(m_counts).dump(); }

 private:
  std::mutex m_mutex;
  std::map<std::string, int> m_counts;
};

// Starts `clients` threads, each of which sends one request at a time.
void StartClients(ProcessFleet& fleet, const std::string& path, int clients,
                  const std::atomic<bool>& is_stopping, OutcomeCounts& counts,
                  std::vector<std::thread>& threads) {
  for (int i = 0; i < clients; ++i) {
    threads.emplace_back([&fleet, &is_stopping, &counts, path] {
      httplib::Client client("127.0.0.1", fleet.server(0).public_port);
      client.set_keep_alive(true);
      client.set_read_timeout(seconds(20));
      while (!is_stopping) {
        counts.Add(client.Post(path, "{}", "application/json"));
        // Retry soon after a refusal, without starving the other processes.
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
      }
    });
  }
}

// Guards against protected requests that are shed while lower-priority requests
// overload a downstream service (P2), and against refused requests that were
// executed (P4). Runs two real nodes.
BOOST_AUTO_TEST_CASE(ProtectedRankSurvivesFlood) {
  std::vector<ProcessFleet::ServerSpec> servers(2);
  servers[0].vm = "vm-1";
  servers[0].service = "front";
  servers[0].stub_flags = {"--calls=book=back.reserve;list=back.find"};
  servers[1].vm = "vm-2";
  servers[1].service = "back";
  servers[1].stub_flags = {"--service_ms=40"};
  ProcessFleet fleet(kConfig, std::move(servers));
  BOOST_TEST_REQUIRE(fleet.WaitUntilReady(seconds(20)));

  std::atomic<bool> is_stopping{false};
  OutcomeCounts urgent;
  OutcomeCounts batch;
  std::vector<std::thread> threads;
  StartClients(fleet, "/front/list", 40, is_stopping, batch, threads);
  StartClients(fleet, "/front/book", 2, is_stopping, urgent, threads);
  std::this_thread::sleep_for(seconds(4));
  is_stopping = true;
  for (std::thread& thread : threads) thread.join();

  BOOST_TEST_MESSAGE("urgent " << urgent.ToString() << " batch "
                               << batch.ToString());
  BOOST_TEST(urgent.Count("ok") == urgent.Total());
  BOOST_TEST(urgent.Total() > 0);
  BOOST_TEST(batch.Count("ok") > 0);
  // The entry node has applied the threshold of the downstream service.
  BOOST_TEST(batch.Count("not-run below-threshold") > 0);
  BOOST_TEST(batch.Count("unnamed") == 0);
  const auto executions = nlohmann::json::parse(
      ProcessFleet::Get(fleet.server(1).backend_port, "/control/executions"));
  const int answered = urgent.Count("ok") + batch.Count("ok");
  BOOST_TEST(executions.size() == static_cast<size_t>(answered));
}

}  // namespace
}  // namespace vanillatiller
