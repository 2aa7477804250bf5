#ifndef VANILLATILLER_TESTS_RELAY_HARNESS_H_
#define VANILLATILLER_TESTS_RELAY_HARNESS_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "relay/relay.h"

namespace vanillatiller {

// A loopback port that is free at the moment.
uint16_t FreeLoopbackPort();

// Runs `loop` until `done` holds; false if it does not within 10 s.
bool RunUntil(EventLoop* loop, const std::function<bool()>& done);
// Runs `loop` for a time.
void RunFor(EventLoop* loop, Duration time);

// Header names of the tests' protocol.
ProtocolNames TestNames();

// A backend server. What it does with a request depends on the path:
// /ok answers, /hold waits for ReleaseHeldRequests(), /shed refuses as not run,
// /fail answers 500.
class FakeServer : public HttpRequestHandler {
 public:
  struct Arrival {
    HttpRequest request;
    std::string id;
  };

  FakeServer(EventLoop* loop, uint16_t port);

  void OnRequest(const std::shared_ptr<HttpServerSession>& session,
                 HttpRequest request, TimePoint now) override;
  void OnCallerDisconnected(const std::shared_ptr<HttpServerSession>& session,
                            TimePoint now) override;
  // Answers all requests that wait, with success or with 500.
  void ReleaseHeldRequests(TimePoint now);
  void FailHeldRequests(TimePoint now);

  // Requests by identity, in order.
  std::vector<Arrival> arrivals;
  std::vector<std::string> disconnected;
  size_t held() const { return m_held.size(); }

 private:
  void AnswerOk(const std::shared_ptr<HttpServerSession>& session,
                const std::string& id, TimePoint now);

  EventLoop* m_loop;
  std::unique_ptr<TcpListener> m_listener;
  std::map<std::shared_ptr<HttpServerSession>, std::string> m_held;
};

// Forwards TCP connections; can cut all of them or let them fall silent.
class FaultProxy {
 public:
  FaultProxy(EventLoop* loop, const SocketAddress& from,
             const SocketAddress& to);
  ~FaultProxy();

  // Resets the connections that stand.
  void Reset();
  // Drops all bytes of the connections that stand; new ones work.
  void DropTraffic();
  size_t accepted() const { return m_accepted; }

 private:
  class Pair;

  EventLoop* m_loop;
  const SocketAddress m_to;
  std::unique_ptr<TcpListener> m_listener;
  std::vector<std::shared_ptr<Pair>> m_pairs;
  size_t m_accepted = 0;
};

// A caller's request and its answer.
struct FakeCall {
  std::shared_ptr<HttpClientSession> session;
  bool is_over = false;
  ExchangeResult result;
};

// Two nodes: `front`, where callers are, and `back`, beside the server, reached
// through a network that can be disturbed.
class RelayPair {
 public:
  RelayPair();
  ~RelayPair();

  // Sends a request to the front node. Paths: see FakeServer; below /once/ they
  // are not idempotent, elsewhere they are.
  std::shared_ptr<FakeCall> Send(const std::string& path, const std::string& id,
                                 Duration time_left = std::chrono::seconds(5));
  // Sends a request that the server beside the back node makes itself.
  std::shared_ptr<FakeCall> SendFromServer(const std::string& path,
                                           const std::string& id);
  // Lists another server, which the back node reaches like the first.
  void AddServer(const std::string& id, uint64_t revision = 2);
  // Ends the front node and starts it anew; it knows no routes and servers
  // until ApplyTestConfig() is called.
  void RestartFront();
  // Gives a relay its routes and servers.
  void ApplyTestConfig(Relay* relay);
  // Ends the back node without notice and starts it anew.
  void RestartBack();
  int ReadinessStatus(const SocketAddress& health);

  // Used by the members below.
  const uint16_t server_port;
  const uint16_t peer_port;
  EventLoop loop;
  EventLog log;
  FakeServer server;
  FaultProxy network;
  RelaySettings front_settings;
  RelaySettings back_settings;
  std::unique_ptr<Relay> front;
  std::unique_ptr<Relay> back;

 private:
  std::shared_ptr<FakeCall> SendTo(const SocketAddress& listener,
                                   const std::string& path,
                                   const std::string& id, Duration time_left);
  std::unique_ptr<Relay> MakeRelay(const RelaySettings& settings);
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_TESTS_RELAY_HARNESS_H_
