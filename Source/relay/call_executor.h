#ifndef VANILLATILLER_SOURCE_RELAY_CALL_EXECUTOR_H_
#define VANILLATILLER_SOURCE_RELAY_CALL_EXECUTOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "admission/admission.h"
#include "eventio/eventio.h"
#include "relay/call_result.h"
#include "relay/event_log.h"
#include "relay/protocol_names.h"
#include "relay/relay_metrics.h"

namespace vanillatiller {

// Runs calls at the backend server beside this node. All requests to the server
// come this way, so what waits, waits here: the server never gets more calls
// than it has slots.
class CallExecutor {
 public:
  // A call that the server works on.
  struct ActiveCall {
    uint32_t rank = 0;
    uint32_t shed_hash = 0;
    TimePoint deadline;
    // Calls that the server made for it were answered.
    bool is_in_progress = false;
    bool is_repeat = false;
  };

  using Done = std::function<void(CallResult, TimePoint now)>;
  using Handle = uint64_t;

  CallExecutor(EventLoop* loop, SocketAddress server,
               const ProtocolNames* names, EventLog* log, RelayMetrics* metrics,
               TimePoint now);
  ~CallExecutor();

  // `done` is called once, at once or later, unless Cancel() comes first.
  Handle Start(const relay::Call& call, Done done, TimePoint now);
  // Nobody waits for the call. A call that waits is dropped and an idempotent
  // one is broken off at the server: true, and `done` will not be called. A
  // non-idempotent call that runs goes on: false.
  bool Cancel(Handle handle, TimePoint now);

  // No new calls are taken.
  void StartDraining(TimePoint now);
  // The list names another server run beside this node.
  void OnServerChanged(uint32_t slots, bool is_cold, TimePoint now);

  // The call for which the server makes the request `request_id`: servers name
  // a request that they make after the one that they work on, with a dot and
  // more behind. Nullopt if no call that runs here has such a name.
  std::optional<ActiveCall> FindParent(std::string_view request_id) const;
  // A request that the server made for such a call was answered.
  void OnNestedAnswered(std::string_view request_id);
  // Such a request was turned away by an overloaded service.
  void OnNestedOverloaded(std::string_view request_id);

  PeerLoad Load() const;
  bool IsIdle() const { return m_calls.empty(); }
  void Tick(TimePoint now);

 private:
  struct LocalCall {
    relay::Call call;
    std::string request_id;
    Done done;
    TimePoint received;
    TimePoint deadline;
    TimePoint dispatched;
    std::shared_ptr<HttpClientSession> session;
    TimerId timer = 0;
    bool is_cancelled = false;
    bool is_in_progress = false;
    bool overload_below = false;
  };

  // The running call that `request_id` was made for.
  std::optional<Handle> FindParentHandle(std::string_view request_id) const;
  void ApplyActions(AdmissionActions* actions, TimePoint now);
  void Run(Handle handle, TimePoint now);
  void OnExchange(Handle handle, ExchangeResult exchange, TimePoint now);
  void Finish(Handle handle, CallResult result, TimePoint now);
  void ReleaseSlot(Handle handle, const CallResult& result, TimePoint now);
  static CallResult MakeRefusal(RefusalCode code);
  HttpRequest MakeRequest(const LocalCall& local, TimePoint now) const;
  std::shared_ptr<HttpClientSession> AcquireSession(TimePoint now);
  void ReturnSession(std::shared_ptr<HttpClientSession> session, TimePoint now);
  void Resize(uint32_t slots);

  // Time after the deadline at which a call is broken off here, should its
  // caller not have said so.
  static constexpr Duration kDeadlineGrace = std::chrono::milliseconds(300);
  // Longest wait of unprotected work; its own deadline is the tighter bound.
  static constexpr Duration kMaxQueueWait = std::chrono::seconds(2);

  EventLoop* m_loop;
  const SocketAddress m_server;
  const ProtocolNames* m_names;
  EventLog* m_log;
  RelayMetrics* m_metrics;
  std::unique_ptr<Admission> m_admission;
  uint32_t m_slots = 1;
  bool m_draining = false;
  Handle m_last_handle = 0;
  std::map<Handle, LocalCall> m_calls;
  // Calls that run, by the identity of their request.
  std::map<std::string, Handle, std::less<>> m_active_by_request_id;
  // The one used last is taken first.
  std::vector<std::shared_ptr<HttpClientSession>> m_idle_sessions;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_CALL_EXECUTOR_H_
