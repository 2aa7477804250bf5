#ifndef VANILLATILLER_SOURCE_VTBENCH_CALLER_H_
#define VANILLATILLER_SOURCE_VTBENCH_CALLER_H_

#include <boost/random/taus88.hpp>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "vtbench/arrival_schedule.h"
#include "vtbench/experiment.h"

namespace httplib {
class Client;
}

namespace vanillatiller {

// What the caller knows of one request after its last try.
enum class CallerVerdict : uint8_t {
  kComplete,
  kNotRun,
  kUnknown,
  // A complete answer with an HTTP status other than 200.
  kFailed,
  // The caller gave up waiting.
  kTimedOut,
  // max_in_flight was reached.
  kNotSent,
};

const char* CallerVerdictName(CallerVerdict verdict);

struct RequestResult {
  Arrival arrival;
  std::string id;
  CallerVerdict verdict = CallerVerdict::kNotSent;
  // Last X-Vt-Reason.
  std::string reason;
  // From the intended start to the end of the last try.
  std::chrono::nanoseconds latency{0};
  // From the intended start to the first send: how late vtbench itself was.
  std::chrono::nanoseconds send_delay{0};
  // Tries of the caller.
  uint32_t tries = 0;
  // Largest X-Vt-Attempts of any try; 0 if no answer carried it.
  uint32_t attempts = 0;
  // Uses (see TryBody) that the caller was told were not run.
  std::vector<uint32_t> refused_uses;
  // One entry for each try: "VERDICT REASON".
  std::vector<std::string> history;
  // Answers that belonged to another request or were cut off.
  uint32_t wrong_answers = 0;

  bool IsGood(const LoadClass& load) const {
    return verdict == CallerVerdict::kComplete && latency <= load.deadline;
  }
};

// One HTTP listener and its idle connections.
class Target {
 public:
  // `address` is "IP:PORT".
  explicit Target(std::string address);
  ~Target();
  Target(const Target&) = delete;
  Target& operator=(const Target&) = delete;

  std::unique_ptr<httplib::Client> Take();
  void Return(std::unique_ptr<httplib::Client> client);

  // A target that refuses connections is passed over for a while.
  bool IsAvoided(TimePoint now) const;
  void Avoid(TimePoint until);

  const std::string& address() const { return m_address; }

 private:
  std::string m_address;
  mutable std::mutex m_mutex;
  std::vector<std::unique_ptr<httplib::Client>> m_idle;
  TimePoint m_avoid_until;
};

using Targets = std::vector<std::shared_ptr<Target>>;

// Performs requests as a caller outside the fleet does. Thread-safe.
class Caller {
 public:
  // `targets` holds, for each class of the experiment, the listeners that its
  // requests are sent to.
  Caller(const Experiment& experiment, std::vector<Targets> targets);

  // Performs one request with all its tries. `intended` is the intended start.
  RequestResult Perform(const Arrival& arrival, uint64_t number,
                        TimePoint intended) const;

 private:
  using Generator = boost::random::taus88;
  struct Try;

  static std::shared_ptr<Target> ChooseTarget(const Targets& targets,
                                              Generator* generator);
  Try PerformTry(uint32_t load_class, const std::string& body,
                 const std::string& ticket, std::chrono::nanoseconds timeout,
                 Generator* generator) const;

  const Experiment& m_experiment;
  std::vector<Targets> m_targets;
};

// Body of one try: a JSON object with the request's identity, the use number
// and the path of the call, which backend servers pass on and record. Each try
// is a use of its own, but repeats under the same ticket keep the use, because
// the ticket's request may have run for an earlier one.
std::string TryBody(const std::string& id, uint32_t use, uint32_t padding);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTBENCH_CALLER_H_
