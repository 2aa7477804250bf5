#include "vtbench/caller.h"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <nlohmann/json.hpp>
#include <thread>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "httplib.h"

namespace vanillatiller {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kAvoidTime{1000};
constexpr milliseconds kConnectTimeout{500};
// Connections that a caller opens before it gives up on one try.
constexpr int kConnectAttempts = 3;

}  // namespace

const char* CallerVerdictName(CallerVerdict verdict) {
  static constexpr const char* kNames[] = {"complete", "not-run",   "unknown",
                                           "failed",   "timed-out", "not-sent"};
  return kNames[static_cast<size_t>(verdict)];
}

std::string TryBody(const std::string& id, uint32_t use, uint32_t padding) {
  nlohmann::json body = {{"id", id}, {"use", use}, {"path", ""}};
  if (padding > 0) body["padding"] = std::string(padding, 'x');
  return body.dump();
}

Target::Target(std::string address) : m_address(std::move(address)) {}

Target::~Target() = default;

std::unique_ptr<httplib::Client> Target::Take() {
  {
    const std::lock_guard lock(m_mutex);
    if (!m_idle.empty()) {
      auto client = std::move(m_idle.back());
      m_idle.pop_back();
      return client;
    }
  }
  auto client = std::make_unique<httplib::Client>("http://" + m_address);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  client->set_connection_timeout(kConnectTimeout);
  return client;
}

void Target::Return(std::unique_ptr<httplib::Client> client) {
  const std::lock_guard lock(m_mutex);
  m_idle.push_back(std::move(client));
}

bool Target::IsAvoided(TimePoint now) const {
  const std::lock_guard lock(m_mutex);
  return now < m_avoid_until;
}

void Target::Avoid(TimePoint until) {
  const std::lock_guard lock(m_mutex);
  m_avoid_until = until;
  m_idle.clear();
}

struct Caller::Try {
  CallerVerdict verdict = CallerVerdict::kUnknown;
  std::string reason;
  std::string ticket;
  std::string body;
  uint32_t attempts = 0;
};

Caller::Caller(const Experiment& experiment, std::vector<Targets> targets)
    : m_experiment(experiment), m_targets(std::move(targets)) {}

std::shared_ptr<Target> Caller::ChooseTarget(const Targets& targets,
                                             Generator* generator) {
  const TimePoint now = BootClock::now();
  boost::random::uniform_int_distribution<size_t> pick(0, targets.size() - 1);
  size_t index = pick(*generator);
  for (size_t i = 0; i < targets.size(); ++i) {
    if (!targets[index]->IsAvoided(now)) return targets[index];
    index = (index + 1) % targets.size();
  }
  return targets[index];
}

Caller::Try Caller::PerformTry(uint32_t load_class, const std::string& body,
                               const std::string& ticket,
                               std::chrono::nanoseconds timeout,
                               Generator* generator) const {
  const LoadClass& load = m_experiment.classes[load_class];
  Try result;
  httplib::Headers headers = {
      {"X-Vt-Tenant", load.tenant},
      {"X-Vt-Timeout-Ms",
       std::to_string(
           std::chrono::duration_cast<milliseconds>(timeout).count())}};
  if (!ticket.empty()) headers.emplace("X-Vt-Ticket", ticket);
  const std::string path = absl::StrCat("/", load.service, "/", load.method);
  for (int i = 0; i < kConnectAttempts; ++i) {
    const auto target = ChooseTarget(m_targets[load_class], generator);
    auto client = target->Take();
    client->set_read_timeout(
        std::chrono::duration_cast<std::chrono::microseconds>(timeout));
    const auto answer = client->Post(path, headers, body, "application/json");
    if (!answer) {
      if (answer.error() == httplib::Error::Connection) {
        // Nothing was sent, so another entry may be used.
        target->Avoid(BootClock::now() + kAvoidTime);
        result.reason = "no-connection";
        result.verdict = CallerVerdict::kNotRun;
        continue;
      }
      result.verdict = answer.error() == httplib::Error::Read
                           ? CallerVerdict::kTimedOut
                           : CallerVerdict::kUnknown;
      result.reason = httplib::to_string(answer.error());
      return result;
    }
    target->Return(std::move(client));
    result.reason = answer->get_header_value("X-Vt-Reason");
    result.ticket = answer->get_header_value("X-Vt-Ticket");
    (void)absl::SimpleAtoi(answer->get_header_value("X-Vt-Attempts"),
                           &result.attempts);
    const std::string outcome = answer->get_header_value("X-Vt-Outcome");
    result.verdict = outcome == "not-run"    ? CallerVerdict::kNotRun
                     : outcome == "unknown"  ? CallerVerdict::kUnknown
                     : answer->status == 200 ? CallerVerdict::kComplete
                                             : CallerVerdict::kFailed;
    result.body = answer->body;
    return result;
  }
  return result;
}

RequestResult Caller::Perform(const Arrival& arrival, uint64_t number,
                              TimePoint intended) const {
  const LoadClass& load = m_experiment.classes[arrival.load_class];
  RequestResult result;
  result.arrival = arrival;
  result.id = absl::StrCat("r", number);
  result.send_delay = BootClock::now() - intended;
  Generator generator(static_cast<uint32_t>(arrival.seed));
  uint32_t use = 1;
  std::string ticket;
  bool may_be_running = false;
  // The first answer to a request without a ticket only delivers one, so that
  // exchange does not count as a retry.
  uint32_t tries_allowed = load.retries + (load.uses_ticket ? 2 : 1);
  while (result.tries < tries_allowed) {
    if (result.tries > 0) std::this_thread::sleep_for(load.retry_delay);
    const auto left = load.uses_ticket || load.retries > 0
                          ? std::chrono::nanoseconds(load.try_timeout)
                          : intended + load.deadline - BootClock::now();
    if (left <= std::chrono::nanoseconds(0)) {
      result.verdict = CallerVerdict::kTimedOut;
      break;
    }
    const Try outcome = PerformTry(
        arrival.load_class, TryBody(result.id, use, load.padding), ticket,
        std::min(left, std::chrono::nanoseconds(load.try_timeout)), &generator);
    ++result.tries;
    result.verdict = outcome.verdict;
    result.reason = outcome.reason;
    result.history.push_back(
        absl::StrCat(CallerVerdictName(outcome.verdict), " ", outcome.reason));
    result.attempts = std::max(result.attempts, outcome.attempts);
    if (outcome.verdict == CallerVerdict::kComplete) {
      const auto body = nlohmann::json::parse(outcome.body, nullptr, false);
      if (!body.is_object() || body.value("id", "") != result.id) {
        ++result.wrong_answers;
      }
      break;
    }
    // A failed answer to a request under a ticket is final: it ran.
    if (load.uses_ticket && outcome.verdict == CallerVerdict::kFailed) break;
    if (outcome.verdict == CallerVerdict::kNotRun) {
      if (!may_be_running) result.refused_uses.push_back(use);
      // The refusal of a repeat says nothing of an earlier try that may still
      // run under the same ticket, so that ticket is kept.
      if (!may_be_running && !outcome.ticket.empty()) ticket = outcome.ticket;
    } else {
      may_be_running = load.uses_ticket;
    }
    if (!may_be_running) ++use;
  }
  result.latency = BootClock::now() - intended;
  return result;
}

}  // namespace vanillatiller
