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
#include "relay/call_message.h"
#include "relay/call_result.h"
#include "relay/event_log.h"
#include "relay/protocol_names.h"
#include "relay/relay_metrics.h"
#include "relay/server_directory.h"
#include "relay/server_rate_tracker.h"
#include "relay/window_counter.h"

namespace vanillatiller {

// Runs calls on the local backend server. All requests to that server pass
// through this class and are queued here, so the server never receives more
// concurrent calls than it has slots.
class CallExecutor {
 public:
  // A call that is running on the server.
  struct ActiveCall {
    uint32_t rank = 0;
    uint32_t shed_hash = 0;
    TimePoint deadline;
    // At least one nested call that the server made for this call was answered.
    bool is_in_progress = false;
    bool is_repeat = false;
  };

  using Done = std::function<void(CallResult, TimePoint now)>;
  using Handle = uint64_t;

  CallExecutor(EventLoop* loop, SocketAddress server,
               const ProtocolNames* names, EventLog* log, RelayMetrics* metrics,
               TimePoint now);
  ~CallExecutor();

  // `done` is called exactly once, possibly before Start() returns, unless
  // Cancel() returns true first.
  Handle Start(CallMessage message, Done done, TimePoint now);
  // Cancels a call whose caller no longer waits for it. Returns true if the
  // call was still queued, or was idempotent and its request to the server was
  // aborted; `done` is then not called. Returns false for a non-idempotent call
  // that is running, which continues.
  bool Cancel(Handle handle, TimePoint now);

  // Called when what the server says of itself has changed.
  void SetNoticeListener(std::function<void(TimePoint now)> listener) {
    m_notice_listener = std::move(listener);
  }
  // What the server says of itself; nullopt if this process has never known of
  // a limit, and the server is not leaving.
  std::optional<relay::ServerNotice> Notice() const;

  // Refuses queued and new calls; running calls continue.
  void StartDraining(TimePoint now);
  // The directory lists a new server instance, or a restart, on this node.
  void OnServerChanged(const ServerIncarnation& server, uint32_t slots,
                       bool is_cold, TimePoint now);

  // Returns the running call on whose behalf the server sent the request
  // `request_id`. The ID of a nested request is the ID of its parent followed
  // by a dot and a suffix. Nullopt if no running call matches.
  std::optional<ActiveCall> FindParent(std::string_view request_id) const;
  // A nested request of a running call was answered.
  void OnNestedAnswered(std::string_view request_id);
  // A nested request of a running call was refused by an overloaded service.
  void OnNestedOverloaded(std::string_view request_id);

  PeerLoad Load() const;
  // Calls a second that the server takes; nullopt if it names no limit.
  const std::optional<double>& rate_limit() const { return m_rate.rate(); }
  // Calls sent to the server in the last four seconds.
  uint32_t RecentCalls(TimePoint now) { return m_dispatched_calls.Count(now); }
  bool IsIdle() const { return m_calls.empty(); }
  void Tick(TimePoint now);

 private:
  struct LocalCall {
    relay::Call call;
    // Null once it has been handed to the session.
    HeldBytesPtr body;
    std::string request_id;
    Done done;
    TimePoint received;
    TimePoint deadline;
    TimePoint dispatched;
    // The server as known when the call was dispatched.
    ServerIncarnation server;
    std::shared_ptr<HttpClientSession> session;
    TimerId timer = 0;
    bool is_cancelled = false;
    bool is_in_progress = false;
    bool overload_below = false;
  };

  // Returns the running call that is the parent of `request_id`.
  std::optional<Handle> FindParentHandle(std::string_view request_id) const;
  void ApplyActions(AdmissionActions* actions, TimePoint now);
  // Sets the timer for the next call that the server's rate limit lets through.
  void ScheduleRateDispatch(TimePoint now);
  void Run(Handle handle, TimePoint now);
  void OnExchange(Handle handle, ExchangeResult exchange, TimePoint now);
  void Finish(Handle handle, CallResult result, TimePoint now);
  void ReleaseSlot(Handle handle, const CallResult& result, TimePoint now);
  static CallResult MakeRefusal(RefusalCode code);
  // Applies what the server says of itself in its answer to a call.
  void OnNotice(const LocalCall& local, const ServerNotice& notice,
                TimePoint now);
  void OnRateNotice(const LocalCall& local, const ServerNotice& notice,
                    TimePoint now);
  // The server will leave: queued and new calls for it are refused.
  void OnLeavingNotice(const LocalCall& local, TimePoint now);
  // Whether the server that the call is meant for is leaving.
  bool IsForLeavingServer(const relay::Call& call) const;
  // The server that a call which is sent now reaches.
  ServerIncarnation TargetOf(const relay::Call& call) const;
  // Applies the limit that the caller's node knows of.
  void OnReportedRate(const relay::Call& call, TimePoint now);
  // The limit of the server has changed to that of m_rate.
  void ApplyRate(std::optional<double> before, std::string_view source,
                 TimePoint now);
  void LogRateRefusal(const LocalCall& local, TimePoint now);
  HttpRequest MakeRequest(const LocalCall& local, TimePoint now) const;
  // Returns a session that has not carried a request with this ID.
  std::shared_ptr<HttpClientSession> AcquireSession(std::string_view request_id,
                                                    TimePoint now);
  void ReturnSession(std::shared_ptr<HttpClientSession> session, TimePoint now);
  void Resize(uint32_t slots);

  // Time after its deadline at which a running call is aborted if its caller
  // has not cancelled it.
  static constexpr Duration kDeadlineGrace = std::chrono::milliseconds(300);
  // Maximum queue wait of unprotected work; the deadline of a call is usually
  // the tighter bound.
  static constexpr Duration kMaxQueueWait = std::chrono::seconds(2);

  // Largest response. A faulty server may send bytes without end.
  static constexpr HttpReader::Limits kAnswerLimits = {size_t{64} << 10,
                                                       size_t{16} << 20};

  EventLoop* m_loop;
  const SocketAddress m_server;
  const ProtocolNames* m_names;
  EventLog* m_log;
  RelayMetrics* m_metrics;
  std::unique_ptr<Admission> m_admission;
  uint32_t m_slots = 1;
  bool m_draining = false;
  // The server on this VM; empty until it is known.
  ServerIncarnation m_incarnation;
  ServerRateTracker m_rate;
  // The server that last said that it is leaving, and the request whose answer
  // said so first.
  std::optional<ServerIncarnation> m_leaving;
  std::string m_leaving_request;
  // Fires when the limit lets the next queued call through.
  TimerId m_rate_timer = 0;
  // The last value that could not be read, which is logged once.
  std::string m_unreadable_notice;
  std::function<void(TimePoint now)> m_notice_listener;
  WindowCounter m_dispatched_calls;
  Handle m_last_handle = 0;
  std::map<Handle, LocalCall> m_calls;
  // Running calls by request ID.
  std::map<std::string, Handle, std::less<>> m_active_by_request_id;
  // Idle sessions to the server, reused in last-in, first-out order.
  std::vector<std::shared_ptr<HttpClientSession>> m_idle_sessions;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_CALL_EXECUTOR_H_
