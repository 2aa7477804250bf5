#ifndef VANILLATILLER_SOURCE_EVENTIO_HTTP_SESSION_POOL_H_
#define VANILLATILLER_SOURCE_EVENTIO_HTTP_SESSION_POOL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "eventio/http_server_session.h"

namespace vanillatiller {

// Returns the connection that gives way when memory is needed: of those with
// this activity that have made no progress for `stall_time`, the one that holds
// the most. Nullopt if there is none.
//
// Load pattern: clients send most of a large body and then nothing more, or ask
// for large answers and do not read them, while others need the memory that is
// held for them.
std::optional<size_t> ChooseStalledConnection(
    std::span<const HttpConnectionStatus> connections,
    HttpConnectionStatus::Activity activity, Duration stall_time,
    TimePoint now);

// Returns the connection that gives way to a new one: the one that has been
// idle for longest. Nullopt if none is idle.
std::optional<size_t> ChooseIdleConnection(
    std::span<const HttpConnectionStatus> connections);

// The connections of one listener, up to a number.
class HttpSessionPool {
 public:
  struct Limits {
    // Connections that are open at the same time.
    size_t max_connections = 2048;
    // Time without progress after which a request that is being received gives
    // way to others, if these need its memory or its connection.
    Duration stall_time = std::chrono::seconds(1);
    // Time without progress after which a client that does not read its answers
    // gives way to others, if these need the memory.
    Duration read_stall_time = std::chrono::seconds(5);
  };

  // Numbers of what was given up.
  struct Counters {
    uint64_t stalled_requests = 0;
    uint64_t stalled_readers = 0;
    uint64_t idle_connections = 0;
    uint64_t refused_connections = 0;
  };

  // Reports what was given up, for logging: what, and the connections now.
  using Report = std::function<void(std::string_view what, size_t connections,
                                    TimePoint now)>;

  // Null `http_limits` stand for the default ones.
  HttpSessionPool(EventLoop* loop, HttpRequestHandler* handler,
                  std::shared_ptr<const HttpServerLimits> http_limits,
                  const Limits& limits, Report report);

  // Starts a session on the connection. At the limit, another connection gives
  // way; if none can, the new one is closed before anything has been read.
  void Accept(std::shared_ptr<TcpConnection> connection, TimePoint now);
  // Gives up one stalled request; false if there is none.
  bool GiveUpStalledRequest(TimePoint now);
  // Closes the connection of one client that does not read; false if there is
  // none.
  bool CloseStalledReader(TimePoint now);
  void ForEach(const std::function<void(HttpServerSession&)>& visit) const;
  // Forgets connections that have ended, and notes the progress of the others.
  void Tick(TimePoint now);

  const Counters& counters() const { return m_counters; }
  // Connections as of the last call of Accept() or Tick().
  size_t size() const { return m_members.size(); }

 private:
  struct Member {
    // Open for longer than its session, while it lingers.
    std::weak_ptr<TcpConnection> connection;
    std::weak_ptr<HttpServerSession> session;
  };

  void RemoveEnded();
  bool MakeRoom(TimePoint now);
  bool CloseLingering();
  bool CloseIdle(TimePoint now);
  // Returns the sessions that are open, and their states in the same order.
  std::vector<std::shared_ptr<HttpServerSession>> OpenSessions(
      std::vector<HttpConnectionStatus>* states) const;
  std::shared_ptr<HttpServerSession> FindStalled(
      HttpConnectionStatus::Activity activity, Duration stall_time,
      TimePoint now) const;

  EventLoop* m_loop;
  HttpRequestHandler* m_handler;
  const std::shared_ptr<const HttpServerLimits> m_http_limits;
  const Limits m_limits;
  const Report m_report;
  Counters m_counters;
  // In the order in which they were accepted.
  std::vector<Member> m_members;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_EVENTIO_HTTP_SESSION_POOL_H_
