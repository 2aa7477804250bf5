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

// Returns a loopback port that is currently free.
uint16_t FreeLoopbackPort();

// Runs `loop` until `done` returns true. Returns false after a 10 s timeout.
bool RunUntil(EventLoop* loop, const std::function<bool()>& done);
// Runs `loop` for the given duration.
void RunFor(EventLoop* loop, Duration time);

// A log whose lines can be read. Lines beyond what a pipe holds are lost.
struct LogPipe {
  LogPipe();
  ~LogPipe();
  LogPipe(const LogPipe&) = delete;
  LogPipe& operator=(const LogPipe&) = delete;

  // Returns the lines that were flushed since the last call.
  std::string Read();

 private:
  int m_ends[2];

 public:
  EventLog log;
};

// Header names used by the tests.
ProtocolNames TestNames();

// Fake backend server. The end of the path selects its behavior: /ok responds
// with 200, /large with 200 and a body of kLargeBodyBytes, /hold waits for
// ReleaseHeldRequests(), /shed refuses the request as not run, and /fail
// responds with 500.
class FakeServer : public HttpRequestHandler {
 public:
  struct Arrival {
    HttpRequest request;
    std::string id;
    TimePoint at;
  };

  static constexpr size_t kLargeBodyBytes = size_t{4} << 20;

  // Listens at 127.0.0.1.
  FakeServer(EventLoop* loop, uint16_t port);
  FakeServer(EventLoop* loop, const SocketAddress& address);

  void OnRequest(const HttpResponderPtr& session, HttpRequest request,
                 TimePoint now) override;
  void OnCallerDisconnected(const HttpResponderPtr& session,
                            TimePoint now) override;
  // Responds to all held requests with 200, or with 500.
  void ReleaseHeldRequests(TimePoint now);
  void FailHeldRequests(TimePoint now);
  // Ends as a server that crashes: the connections of held requests close.
  // Returns their number.
  size_t EndHeldRequests();

  // Received requests, in order, and IDs of held requests whose caller
  // disconnected.
  std::vector<Arrival> arrivals;
  std::vector<std::string> disconnected;
  // Further fields of each answer.
  std::vector<HttpHeader> notice;
  size_t held() const { return m_held.size(); }

 private:
  void AnswerOk(const HttpResponderPtr& session, const std::string& id,
                TimePoint now, size_t body_bytes = 0);
  void Answer(const HttpResponderPtr& session, HttpResponse response,
              TimePoint now);

  EventLoop* m_loop;
  std::unique_ptr<TcpListener> m_listener;
  std::map<HttpResponderPtr, std::string> m_held;
};

// TCP proxy that can reset its connections or drop their traffic.
class FaultProxy {
 public:
  FaultProxy(EventLoop* loop, const SocketAddress& from,
             const SocketAddress& to);
  ~FaultProxy();

  // Closes the current connections.
  void Reset();
  // Drops all traffic of the current connections. New connections work.
  void DropTraffic();
  // Drops what the clients or the servers send, on all connections, while set.
  void DropFromClients(bool drops) { m_drops.from_clients = drops; }
  void DropFromServers(bool drops) { m_drops.from_servers = drops; }
  size_t accepted() const { return m_accepted; }
  // Number of times data was dropped by DropFromClients().
  size_t dropped_from_clients() const { return m_drops.count_from_clients; }

 private:
  class Forwarding;
  struct Drops {
    bool from_clients = false;
    bool from_servers = false;
    size_t count_from_clients = 0;
  };

  EventLoop* m_loop;
  const SocketAddress m_to;
  std::unique_ptr<TcpListener> m_listener;
  Drops m_drops;
  std::vector<std::shared_ptr<Forwarding>> m_forwardings;
  size_t m_accepted = 0;
};

// TCP client that sends and receives plain text.
class RawClient : private TcpHandler {
 public:
  RawClient(EventLoop* loop, const SocketAddress& address);
  ~RawClient() override { Close(); }

  void Write(const std::string& text);
  void Close();

  std::string received;
  bool is_ended = false;

 private:
  void OnConnected(TimePoint now) override;
  void OnData(std::string_view data, TimePoint now) override;
  void OnEnd(ConnectionEnd end, TimePoint now) override;

  std::shared_ptr<TcpConnection> m_connection;
  std::string m_unsent;
};

// A connection of a calling node that sends and receives single frames.
class RawPeer : public TcpHandler {
 public:
  RawPeer(EventLoop* loop, const SocketAddress& address)
      : m_connection(TcpConnection::Connect(loop, address, this)) {}
  ~RawPeer() override { m_connection->Close(); }

  void Send(const relay::Frame& frame) {
    m_connection->Write(EncodeFrame(frame));
  }
  bool is_up = false;
  std::vector<relay::Frame> received;

 private:
  void OnConnected(TimePoint) override { is_up = true; }
  void OnData(std::string_view data, TimePoint) override;
  void OnEnd(ConnectionEnd, TimePoint) override {}

  FrameReader m_reader;
  std::shared_ptr<TcpConnection> m_connection;
};

// The first frame of a calling node, with the IDs of its pending calls.
relay::Frame HelloFrame(uint64_t connection,
                        const std::vector<uint64_t>& waiting);
// A call of a calling node.
relay::Frame CallFrame(uint64_t id);

// Returns the text of a request for the test routes; see RelayPair::Send().
std::string RequestText(const std::string& method, const std::string& path,
                        const std::string& id, const std::string& body = "",
                        const std::string& more_headers = "");

// A request sent by a test, and its result.
struct FakeCall {
  std::shared_ptr<HttpClientSession> session;
  bool is_over = false;
  ExchangeResult result;
};

// Sends a GET request for `path` to `listener`.
std::shared_ptr<FakeCall> SendTestRequest(EventLoop* loop,
                                          const SocketAddress& listener,
                                          const std::string& path,
                                          const std::string& id,
                                          Duration time_left);

// Two nodes: `front` receives requests from callers, and `back` runs next to
// the backend server and is reached through a fault-injecting proxy.
class RelayPair {
 public:
  RelayPair();
  ~RelayPair();

  // Sends a request to the front node. See FakeServer for the paths. Requests
  // below /once/ are not idempotent; all others are.
  std::shared_ptr<FakeCall> Send(const std::string& path, const std::string& id,
                                 Duration time_left = std::chrono::seconds(5));
  // Sends a request as the backend server of the back node.
  std::shared_ptr<FakeCall> SendFromServer(const std::string& path,
                                           const std::string& id);
  // Adds a server record to the front node's directory, reached through the
  // same back node.
  void AddServer(const std::string& id, uint64_t revision = 2);
  // Restarts the front node, which has no routes or servers until
  // ApplyTestConfig() is called.
  void RestartFront();
  // Applies the test's routes and servers to a relay.
  void ApplyTestConfig(Relay* relay);
  // Restarts the back node without a graceful stop.
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
  std::unique_ptr<Relay> MakeRelay(const RelaySettings& settings);
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_TESTS_RELAY_HARNESS_H_
