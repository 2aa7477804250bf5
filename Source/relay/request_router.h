#ifndef VANILLATILLER_SOURCE_RELAY_REQUEST_ROUTER_H_
#define VANILLATILLER_SOURCE_RELAY_REQUEST_ROUTER_H_

#include <boost/random/mersenne_twister.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "eventio/eventio.h"
#include "relay/call_averages.h"
#include "relay/call_executor.h"
#include "relay/call_message.h"
#include "relay/call_result.h"
#include "relay/config_confirmation.h"
#include "relay/event_log.h"
#include "relay/placement.h"
#include "relay/protocol_names.h"
#include "relay/relay_metrics.h"
#include "relay/route_table.h"
#include "relay/stop_plan.h"
#include "retry/retry.h"

namespace vanillatiller {

// Sends calls to the node on a server's VM.
class CallTransport {
 public:
  using Done = std::function<void(CallResult, TimePoint now)>;

  virtual ~CallTransport() = default;
  virtual void Call(const Candidate& server, const CallMessage& message,
                    Done done, TimePoint now) = 0;
  virtual void Cancel(const SocketAddress& node, uint64_t call_id,
                      TimePoint now) = 0;
};

// Handles requests of callers on this VM: finds the route, selects servers,
// retries where allowed, and responds.
class RequestRouter : public HttpRequestHandler {
 public:
  RequestRouter(EventLoop* loop, const ProtocolNames* names,
                std::string own_service, const Placement* placement,
                CallTransport* transport, CallExecutor* executor,
                const WindowBudgetSettings& budget, EventLog* log,
                RelayMetrics* metrics, uint64_t seed);
  ~RequestRouter() override;

  void SetRoutes(std::shared_ptr<const RouteTable> routes) {
    m_trial_pauses.clear();
    m_routes = std::move(routes);
  }
  // See ConfigConfirmation.
  void RequireConfirmation(Duration max_age) {
    m_confirmation.Require(max_age);
  }
  void OnConfigConfirmed(TimePoint at) { m_confirmation.OnConfirmed(at); }
  void OnSourceRestored(TimePoint now) { m_confirmation.OnSourceRestored(now); }
  // Reports that the configuration is no longer confirmed, or is again.
  void CheckConfirmation(TimePoint now);
  // Starts processing the requests that waited for routes and servers. Called
  // once both are known; later calls have no effect.
  void StartServing(TimePoint now);
  // Refuses new requests that may not be answered in time from now on.
  void SetStopPlan(const StopPlan& plan) { m_stop_plan = plan; }
  // Refuses all new requests. Caller connections close after their next
  // response.
  void StartDraining() { m_draining = true; }
  // Gives a final answer to all requests, as the process ends.
  void EndAll(TimePoint now);
  bool IsIdle() const { return m_requests.empty() && m_early_requests.empty(); }
  uint64_t config_version() const { return m_routes ? m_routes->version() : 0; }

  bool IsIdempotent(const HttpRequest& request) const override;
  HttpResponse Reject(int status, const HttpHeaders& headers,
                      TimePoint now) override;
  void OnRequest(const HttpResponderPtr& responder, HttpRequest request,
                 TimePoint now) override;
  void OnCallerDisconnected(const HttpResponderPtr& responder,
                            TimePoint now) override;

 private:
  struct Request;
  using RequestPtr = std::shared_ptr<Request>;

  // A request that arrived before routes and servers were known.
  struct EarlyRequest {
    HttpResponderPtr responder;
    HttpRequest http;
    TimerId timer = 0;
  };

  // Load pattern: all nodes restart at the same time under full load. A node
  // learns routes and servers a fraction of a second after it starts, so
  // requests that arrive earlier are queued; if they were refused, callers
  // would retry before the node is ready.
  void QueueEarlyRequest(const HttpResponderPtr& responder, HttpRequest http,
                         TimePoint now);
  // Finds the route of a request and starts its first attempt.
  void RouteRequest(const HttpResponderPtr& responder, HttpRequest http,
                    TimePoint now);
  std::shared_ptr<ActiveRoute> FindRoute(const HttpRequest& http) const;
  Duration TimeLeft(const HttpHeaders& headers, Duration default_value) const;
  void SendToServer(const RequestPtr& request, TimePoint now);
  relay::Call MakeCall(const Request& request, const Candidate& server,
                       TimePoint now);
  void OnResult(const RequestPtr& request, CallResult result, TimePoint now);
  // Updates the observed state of the server from the result of a call.
  void RecordResult(const Request& request, const CallResult& result,
                    TimePoint now);
  void OnNotRun(const RequestPtr& request, const CallResult& result,
                TimePoint now);
  void OnFailed(const RequestPtr& request, const CallResult& result,
                TimePoint now);
  // Responds to a request that is not retried: with a refusal if it is proved
  // that the request did not run, otherwise with the server's own error
  // response if there is one.
  void EndWithFailure(const RequestPtr& request, RefusalCode code,
                      TimePoint now);
  bool CanRetry(const Request& request, TimePoint now) const;
  // Whether the request may begin, as far as memory for its answer is
  // concerned.
  bool ReserveAnswer(const RequestPtr& request, TimePoint now);
  // Whether the answer can be held until the caller has read it.
  bool CanHold(const HttpResponse& response) const;
  // Whether a planned stop leaves enough time to answer the request.
  bool CanAnswerBeforeStop(const Request& request, TimePoint now) const;
  // Cancels the call in progress, if any; the request may have run.
  void AbandonCall(const RequestPtr& request, TimePoint now);
  // Spends a retry from the budget of the request's service; false if none is
  // available.
  bool SpendRetry(const Request& request, TimePoint now);
  WindowBudget& RetryBudgetFor(const std::string& service, TimePoint now);
  void OnTimeout(const RequestPtr& request, TimePoint now);
  void Refuse(const RequestPtr& request, RefusalCode code, Duration wait,
              TimePoint now);
  // Adds the time after which a refused caller may retry.
  void AddRetryAfter(HttpResponse* response, Duration wait, Duration time_left,
                     Duration objective);
  void Fail(const RequestPtr& request, int status, RefusalCode code,
            TimePoint now);
  void Answer(const RequestPtr& request, HttpResponse response,
              std::string_view decision, RefusalCode code, TimePoint now);
  void RespondUnrouted(const HttpResponderPtr& responder,
                       const HttpRequest& request, TimePoint now);
  // Returns a response to a request that the configuration does not allow. A
  // caller does not repeat a request that was denied, so that needs a
  // configuration that is known to be current; otherwise the request is
  // refused until then.
  HttpResponse MakeDenial(int status, const HttpHeaders& headers,
                          TimePoint now);
  void RemoveRequest(const RequestPtr& request);

  // Maximum number of servers tried for one request. Each costs a round trip,
  // and after a few refusals the load is likely to be the same everywhere.
  static constexpr size_t kMaxPlacements = 4;
  // Requests that are in progress at most while large answers use up their
  // memory, and that may turn out to have large answers, too.
  static constexpr size_t kMaxTrials = 8;
  // Time without trials of a route after an answer has been discarded.
  static constexpr Duration kTrialPause = std::chrono::milliseconds(100);
  // Maximum number of queued early requests, which bounds their memory.
  static constexpr size_t kMaxEarlyRequests = 256;

  EventLoop* m_loop;
  const ProtocolNames* m_names;
  const std::string m_own_service;
  const Placement* m_placement;
  CallTransport* m_transport;
  // Finds the parent call of a request that the local server sends.
  CallExecutor* m_executor;
  const WindowBudgetSettings m_budget;
  EventLog* m_log;
  RelayMetrics* m_metrics;
  Placement::Generator m_random;
  std::shared_ptr<const RouteTable> m_routes;
  ConfigConfirmation m_confirmation;
  // As last reported.
  bool m_is_confirmed = true;
  bool m_is_serving = false;
  std::map<HttpResponder*, EarlyRequest> m_early_requests;
  bool m_draining = false;
  std::optional<StopPlan> m_stop_plan;
  RequestDurations m_durations;
  uint64_t m_last_call = 0;
  std::map<HttpResponder*, RequestPtr> m_requests;
  std::map<std::string, std::unique_ptr<WindowBudget>> m_budgets;
  CallAverages m_call_averages;
  // Number of requests with `is_trial`.
  size_t m_trials = 0;
  // Time until which a route has no trials, by its name.
  std::map<std::string, TimePoint, std::less<>> m_trial_pauses;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_REQUEST_ROUTER_H_
