#ifndef VANILLATILLER_UTILITIES_ADMISSION_SIMULATOR_H_
#define VANILLATILLER_UTILITIES_ADMISSION_SIMULATOR_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "admission/admission.h"

namespace vanillatiller {

// Requests of one kind with Poisson arrivals.
struct SimulatedStream {
  std::string name;
  uint32_t rank = 0;
  bool is_protected = false;
  std::string tenant = "tenant";
  std::string method = "method";
  // Requests per second between `from` and `to`.
  double rate = 0;
  Duration from{};
  Duration to = std::chrono::hours(1);
  Duration timeout = std::chrono::seconds(1);
  // A request passes through `chain_length` services, from `first_service` on.
  uint32_t first_service = 0;
  uint32_t chain_length = 1;
};

// A period in which a backend server is slow or its node is suspended.
struct SimulatedFault {
  uint32_t service = 0;
  Duration from{};
  Duration to{};
  // Factor applied to the service time.
  double slowdown = 1;
  // The node is suspended; its events are delayed until the end of the fault.
  bool is_paused = false;
};

// One service with one backend server and one node.
struct SimulatedService {
  uint32_t slots = 10;
  // Calls that the backend server processes concurrently; it queues the others.
  uint32_t workers = 10;
  // The server refuses calls beyond this number; 0 means that it never refuses.
  uint32_t shed_above = 0;
  // Mean of the exponentially distributed service time.
  Duration mean_time = std::chrono::milliseconds(10);
  // If at least this fraction of the slots is in use, the service time is
  // multiplied by `nearly_full_slowdown`.
  double nearly_full = 0.95;
  double nearly_full_slowdown = 1;
  // The backend server restarts at time zero.
  bool has_cold_start = false;
};

struct SimulationSettings {
  AdmissionPolicy policy = AdmissionPolicy::kAdaptive;
  // Entry nodes refuse requests by a ThresholdTable; only with kAdaptive.
  bool use_threshold_table = true;
  // The first service also refuses by the thresholds of its downstream
  // services.
  bool use_callee_table = true;
  // Number of entry nodes, each with its own table.
  uint32_t entry_nodes = 8;
  std::vector<SimulatedService> services;
  std::vector<SimulatedStream> streams;
  std::vector<SimulatedFault> faults;
  std::vector<TenantWeight> tenant_weights;
  Duration duration = std::chrono::seconds(10);
  // Requests that arrive earlier are not counted.
  Duration measure_from = std::chrono::seconds(2);
  uint64_t seed = 1;
};

struct StreamResult {
  std::string name;
  uint64_t offered = 0;
  // Completed before the deadline.
  uint64_t succeeded = 0;
  uint64_t refused_at_entry = 0;

  double SuccessFraction() const;
};

struct SimulationResult {
  std::vector<StreamResult> streams;
  // Successful requests per second of the measured time.
  double goodput = 0;
  // Fraction of the backend servers' work spent on requests that failed.
  double wasted_fraction = 0;
  // Successful requests per 100 ms of arrival time, from time zero.
  std::vector<uint64_t> succeeded_by_arrival;
  // True if calls in flight ever exceeded the limit at a dispatch.
  bool limit_exceeded = false;
  // Number of actions beyond the first for the same call.
  uint64_t wrong_action_count = 0;

  const StreamResult& Stream(const std::string& name) const;
};

// Discrete-event simulation of Admission and ThresholdTable in a chain of
// services with one node and backend server each, which all shed by the same
// request hash.
class AdmissionSimulator {
 public:
  explicit AdmissionSimulator(const SimulationSettings& settings);

  SimulationResult Run();

 private:
  enum class EventKind : uint8_t {
    kArrival,
    kOffer,
    kWorkDone,
    kAnswer,
    kTick,
  };

  struct Event {
    TimePoint time;
    uint64_t sequence = 0;
    EventKind kind = EventKind::kTick;
    uint32_t subject = 0;  // Stream, request or service.
    uint32_t service = 0;

    bool operator>(const Event& other) const;
  };

  struct Request {
    uint32_t stream = 0;
    uint32_t entry_node = 0;
    uint32_t shed_hash = 0;
    TimePoint arrived;
    TimePoint deadline;
    bool has_failed = false;
    bool is_ended = false;
    double work_seconds = 0;
    AdmissionThreshold threshold;
    // By service: time of dispatch, latency and number of actions.
    std::vector<TimePoint> dispatched;
    std::vector<Duration> own_latency;
    std::vector<uint8_t> actions;
  };

  struct Server {
    std::unique_ptr<Admission> admission;
    std::deque<uint32_t> waiting;
    uint32_t busy_workers = 0;
    uint32_t held_calls = 0;
  };

  void Schedule(TimePoint time, EventKind kind, uint32_t subject,
                uint32_t service);
  void Handle(const Event& event);
  TimePoint EffectiveTime(const Event& event) const;
  void Arrive(uint32_t stream_index);
  void ScheduleArrival(uint32_t stream_index);
  void OfferCall(uint32_t request, uint32_t service);
  void ExecuteActions(const AdmissionActions& actions, uint32_t service);
  void StartWork(uint32_t request, uint32_t service);
  void FinishWork(uint32_t request, uint32_t service);
  void EndCall(uint32_t request, uint32_t service, BackendOutcome outcome);
  void ReleaseWorker(uint32_t service);
  void Answer(uint32_t request, uint32_t service);
  void EndRequest(uint32_t request);
  double Slowdown(uint32_t service) const;
  bool UsesThresholdTables() const;
  // Returns the key of the first call of a request.
  ThresholdKey FirstCallKey(const SimulatedStream& stream) const;
  uint32_t LastService(const Request& request) const;
  bool IsMeasured(const Request& request) const;

  SimulationSettings m_settings;
  std::mt19937_64 m_random;
  TimePoint m_start;
  TimePoint m_now;
  uint64_t m_sequence = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::vector<Server> m_servers;
  std::vector<std::string> m_service_names;
  std::vector<Request> m_requests;
  std::vector<ThresholdTable> m_entry_tables;
  // Thresholds of the downstream services, kept at the first service.
  ThresholdTable m_callee_table;
  SimulationResult m_result;
  double m_total_work = 0;
  double m_wasted_work = 0;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_UTILITIES_ADMISSION_SIMULATOR_H_
