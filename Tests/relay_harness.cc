#include "relay_harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <set>
#include <utility>

namespace vanillatiller {
namespace {

constexpr const char* kLoopback = "127.0.0.1";
// Address of the proxy through which the front node reaches the back node.
constexpr const char* kProxyIp = "127.0.0.2";
constexpr Duration kRunTimeout = std::chrono::seconds(10);
constexpr Duration kPollPeriod = std::chrono::milliseconds(2);

void Poll(EventLoop* loop, const std::function<bool()>& done, TimePoint end,
          bool* succeeded) {
  loop->Schedule(BootClock::now() + kPollPeriod, [=](TimePoint now) {
    *succeeded = done();
    if (*succeeded || now >= end) {
      loop->Stop();
      return;
    }
    Poll(loop, done, end, succeeded);
  });
}

// As in the programs: a write to a connection that the peer has reset must not
// end the process.
[[maybe_unused]] const auto kEarlierSigpipeHandler =
    std::signal(SIGPIPE, SIG_IGN);

int DevNull() { return open("/dev/null", O_WRONLY); }

RelayRoute MakeRoute(const std::string& prefix, bool idempotent) {
  RelayRoute route;
  route.name = idempotent ? "many" : "once";
  route.authority = "test.example";
  route.prefix = prefix;
  route.idempotent = idempotent;
  route.timeout = std::chrono::seconds(5);
  route.max_attempts = 2;
  route.shares = {{"work", 1}};
  return route;
}

}  // namespace

uint16_t FreeLoopbackPort() {
  // The system may return a recently freed port again.
  static std::set<uint16_t>* given = new std::set<uint16_t>;
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_ANY);
  socklen_t length = sizeof(address);
  BOOST_TEST_REQUIRE(bind(fd, reinterpret_cast<sockaddr*>(&address), length) ==
                     0);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  close(fd);
  const uint16_t port = ntohs(address.sin_port);
  return given->insert(port).second ? port : FreeLoopbackPort();
}

bool RunUntil(EventLoop* loop, const std::function<bool()>& done) {
  bool succeeded = false;
  Poll(loop, done, BootClock::now() + kRunTimeout, &succeeded);
  loop->Run();
  return succeeded;
}

void RunFor(EventLoop* loop, Duration time) {
  loop->Schedule(BootClock::now() + time, [loop](TimePoint) { loop->Stop(); });
  loop->Run();
}

LogPipe::LogPipe()
    : log(
          [this] {
            BOOST_TEST_REQUIRE(pipe2(m_ends, O_NONBLOCK) == 0);
            return m_ends[1];
          }(),
          "test") {}

LogPipe::~LogPipe() {
  for (const int end : m_ends) close(end);
}

std::string LogPipe::Read() {
  std::string text;
  char buffer[4096];
  for (ssize_t n = 0; (n = read(m_ends[0], buffer, sizeof(buffer))) > 0;) {
    text.append(buffer, static_cast<size_t>(n));
  }
  return text;
}

ProtocolNames TestNames() {
  ProtocolNames names;
  names.authority = "Test-Authority";
  names.request_id = "Test-Id";
  names.time_left_ms = "Test-Time-Left";
  names.answer_digest = "Test-Digest";
  names.target_server = "Test-Server";
  names.not_run = "Test-Not-Run";
  names.retry_after = "Retry-After";
  names.calling_service = "Test-From";
  names.server_rate_limit = "Test-Rate-Limit";
  names.server_leaving = "Test-Leaving";
  return names;
}

FakeServer::FakeServer(EventLoop* loop, uint16_t port)
    : FakeServer(loop, SocketAddress{kLoopback, port}) {}

FakeServer::FakeServer(EventLoop* loop, const SocketAddress& address)
    : m_loop(loop) {
  std::string reason;
  m_listener = TcpListener::Listen(
      loop, address,
      [this](std::shared_ptr<TcpConnection> connection, TimePoint now) {
        HttpServerSession::Start(m_loop, std::move(connection), this, {}, now);
      },
      &reason);
  BOOST_TEST_REQUIRE((m_listener != nullptr), reason);
}

void FakeServer::OnRequest(const HttpResponderPtr& session, HttpRequest request,
                           TimePoint now) {
  const std::string id(request.headers.Find("test-id").value_or(""));
  const std::string target = request.target;
  arrivals.push_back({std::move(request), id, now});
  if (target.ends_with("/hold")) {
    m_held[session] = id;
    return;
  }
  if (target.ends_with("/ok") || target.ends_with("/large")) {
    AnswerOk(session, id, now, target.ends_with("/ok") ? 0 : kLargeBodyBytes);
    return;
  }
  HttpResponse response;
  response.status = target.ends_with("/shed") ? 503 : 500;
  response.headers.Add("Test-Id", id);
  if (response.status == 503) response.headers.Add("Test-Not-Run", "1");
  Answer(session, std::move(response), now);
}

void FakeServer::Answer(const HttpResponderPtr& session, HttpResponse response,
                        TimePoint now) {
  for (const HttpHeader& field : notice) {
    response.headers.Add(field.name, field.value);
  }
  session->Respond(std::move(response), now);
}

void FakeServer::FailHeldRequests(TimePoint now) {
  for (const auto& [session, id] : std::exchange(m_held, {})) {
    HttpResponse response;
    response.status = 500;
    response.headers.Add("Test-Id", id);
    Answer(session, std::move(response), now);
  }
}

size_t FakeServer::EndHeldRequests() {
  const auto held = std::exchange(m_held, {});
  for (const auto& [session, id] : held) session->Abort();
  return held.size();
}

void FakeServer::AnswerOk(const HttpResponderPtr& session,
                          const std::string& id, TimePoint now,
                          size_t body_bytes) {
  HttpResponse response;
  response.status = 200;
  response.headers.Add("Test-Id", id);
  response.headers.Add("Test-Digest", "digest-" + id);
  response.body = "body-" + id;
  if (body_bytes > 0) response.body.assign(body_bytes, 'b');
  Answer(session, std::move(response), now);
}

void FakeServer::OnCallerDisconnected(const HttpResponderPtr& session,
                                      TimePoint) {
  disconnected.push_back(m_held[session]);
  m_held.erase(session);
}

void FakeServer::ReleaseHeldRequests(TimePoint now) {
  for (const auto& [session, id] : std::exchange(m_held, {})) {
    AnswerOk(session, id, now);
  }
}

// One forwarded connection.
class FaultProxy::Forwarding {
 public:
  Forwarding(EventLoop* loop, std::shared_ptr<TcpConnection> near,
             const SocketAddress& to, Drops* drops)
      : m_drops(drops), m_near_side(this, &m_far), m_far_side(this, &m_near) {
    m_near = std::move(near);
    m_near->SetHandler(&m_near_side);
    m_far = TcpConnection::Connect(loop, to, &m_far_side);
  }
  ~Forwarding() { Close(); }

  void Close() {
    for (auto* side : {&m_near, &m_far}) {
      if (*side) (*side)->Close();
      side->reset();
    }
  }
  void DropTraffic() { m_drops_traffic = true; }

 private:
  class Side : public TcpHandler {
   public:
    Side(Forwarding* forwarding, std::shared_ptr<TcpConnection>* other)
        : m_forwarding(forwarding), m_other(other) {}

    void OnConnected(TimePoint) override {
      if (*m_other) {
        m_forwarding->m_far->Write(std::exchange(m_forwarding->m_buffered, {}));
      }
    }
    void OnData(std::string_view data, TimePoint) override {
      if (m_forwarding->m_drops_traffic || !*m_other || IsDropped()) return;
      if (!(*m_other)->IsOpen()) {
        m_forwarding->m_buffered += data;
        return;
      }
      (*m_other)->Write(std::string(data));
    }
    void OnEnd(ConnectionEnd, TimePoint) override {
      // When traffic is dropped, the other side stays open until Close().
      if (m_forwarding->m_drops_traffic || !*m_other) return;
      (*m_other)->CloseAfterFlush();
      m_other->reset();
    }

   private:
    bool IsDropped() const {
      Drops* drops = m_forwarding->m_drops;
      if (m_other != &m_forwarding->m_far) return drops->from_servers;
      if (drops->from_clients) ++drops->count_from_clients;
      return drops->from_clients;
    }

    Forwarding* m_forwarding;
    std::shared_ptr<TcpConnection>* m_other;
  };

  Drops* m_drops;

  std::shared_ptr<TcpConnection> m_near;
  std::shared_ptr<TcpConnection> m_far;
  Side m_near_side;
  Side m_far_side;
  std::string m_buffered;
  bool m_drops_traffic = false;
};

FaultProxy::FaultProxy(EventLoop* loop, const SocketAddress& from,
                       const SocketAddress& to)
    : m_loop(loop), m_to(to) {
  std::string reason;
  m_listener = TcpListener::Listen(
      loop, from,
      [this](std::shared_ptr<TcpConnection> connection, TimePoint) {
        ++m_accepted;
        m_forwardings.push_back(std::make_shared<Forwarding>(
            m_loop, std::move(connection), m_to, &m_drops));
      },
      &reason);
  BOOST_TEST_REQUIRE((m_listener != nullptr), reason);
}

FaultProxy::~FaultProxy() = default;

void FaultProxy::Reset() { m_forwardings.clear(); }

void FaultProxy::DropTraffic() {
  for (const auto& forwarding : m_forwardings) forwarding->DropTraffic();
}

RawClient::RawClient(EventLoop* loop, const SocketAddress& address)
    : m_connection(TcpConnection::Connect(loop, address, this)) {}

void RawClient::Write(const std::string& text) {
  if (m_connection && m_connection->IsOpen()) {
    m_connection->Write(text);
    return;
  }
  m_unsent += text;
}

void RawClient::Close() {
  if (m_connection) m_connection->Close();
  m_connection.reset();
}

void RawClient::OnConnected(TimePoint) {
  m_connection->Write(std::exchange(m_unsent, {}));
}

void RawClient::OnData(std::string_view data, TimePoint) { received += data; }

void RawClient::OnEnd(ConnectionEnd, TimePoint) {
  is_ended = true;
  m_connection.reset();
}

void RawPeer::OnData(std::string_view data, TimePoint) {
  m_reader.Append(data);
  relay::Frame frame;
  while (m_reader.Next(&frame) == FrameReader::Result::kFrame) {
    received.push_back(frame);
  }
}

relay::Frame HelloFrame(uint64_t connection,
                        const std::vector<uint64_t>& waiting) {
  relay::Frame frame;
  frame.mutable_hello()->set_incarnation(77);
  frame.mutable_hello()->set_connection(connection);
  for (const uint64_t id : waiting) {
    frame.mutable_hello()->add_waiting_calls(id);
  }
  return frame;
}

relay::Frame CallFrame(uint64_t id) {
  relay::Frame frame;
  relay::Call* call = frame.mutable_call();
  call->set_id(id);
  call->set_server_id("server-1");
  call->set_declared_slots(2);
  call->set_method("GET");
  call->set_target("/ok");
  call->set_time_left_us(1'000'000);
  return frame;
}

std::string RequestText(const std::string& method, const std::string& path,
                        const std::string& id, const std::string& body,
                        const std::string& more_headers) {
  std::string text =
      method + " " + path +
      " HTTP/1.1\r\nTest-Authority: test.example\r\nTest-Id: " + id +
      "\r\nTest-Time-Left: 5000\r\n" + more_headers;
  if (!body.empty()) {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

RelayPair::RelayPair()
    : server_port(FreeLoopbackPort()),
      peer_port(FreeLoopbackPort()),
      log(DevNull(), "test"),
      server(&loop, server_port),
      network(&loop, {kProxyIp, peer_port}, {kLoopback, peer_port}) {
  back_settings.vm = "back";
  back_settings.service = "work";
  back_settings.peer_listener = {kLoopback, peer_port};
  back_settings.caller_listener = {kLoopback, FreeLoopbackPort()};
  back_settings.health_listener = {kLoopback, FreeLoopbackPort()};
  back_settings.server = {kLoopback, server_port};
  back_settings.names = TestNames();
  back_settings.locality.peer_port = peer_port;
  back_settings.incarnation = 1000;
  front_settings = back_settings;
  front_settings.vm = "front";
  front_settings.service = "shop";
  front_settings.peer_listener = {"127.0.0.3", peer_port};
  front_settings.caller_listener = {kLoopback, FreeLoopbackPort()};
  front_settings.health_listener = {kLoopback, FreeLoopbackPort()};
  front_settings.server = {kLoopback, FreeLoopbackPort()};
  front_settings.incarnation = 1;
  front_settings.retry_budget = {1, 10};
  back = MakeRelay(back_settings);
  front = MakeRelay(front_settings);
  ApplyTestConfig(back.get());
  ApplyTestConfig(front.get());
}

RelayPair::~RelayPair() = default;

std::unique_ptr<Relay> RelayPair::MakeRelay(const RelaySettings& settings) {
  const TimePoint now = BootClock::now();
  auto relay = std::make_unique<Relay>(&loop, settings, &log, now);
  std::string reason;
  BOOST_TEST_REQUIRE(relay->Start(&reason), reason);
  return relay;
}

void RelayPair::ApplyTestConfig(Relay* relay) {
  const TimePoint now = BootClock::now();
  RelayConfig config;
  config.version = 1;
  config.routes = {MakeRoute("/", true), MakeRoute("/once/", false)};
  relay->ApplyConfig(config, now);
  ServerRecord record;
  record.id = "server-1";
  record.service = "work";
  record.address = {kProxyIp, server_port};
  record.slots = 2;
  record.revision = {0, 1};
  relay->ApplyServers({record}, {0, 1}, now);
}

void RelayPair::RestartFront() {
  front.reset();
  // Lets the loop close the old listeners.
  RunFor(&loop, std::chrono::milliseconds(20));
  ++front_settings.incarnation;
  front = MakeRelay(front_settings);
}

void RelayPair::AddServer(const std::string& id, uint64_t revision) {
  ServerRecord record;
  record.id = id;
  record.service = "work";
  record.address = {kProxyIp, FreeLoopbackPort()};
  record.slots = 2;
  record.revision = {0, revision};
  front->ApplyServer(record, BootClock::now());
}

void RelayPair::RestartBack() {
  back.reset();
  // Lets the loop close the old listeners.
  RunFor(&loop, std::chrono::milliseconds(20));
  ++back_settings.incarnation;
  back = MakeRelay(back_settings);
  ApplyTestConfig(back.get());
}

std::shared_ptr<FakeCall> RelayPair::Send(const std::string& path,
                                          const std::string& id,
                                          Duration time_left) {
  return SendTestRequest(&loop, front_settings.caller_listener, path, id,
                         time_left);
}

std::shared_ptr<FakeCall> RelayPair::SendFromServer(const std::string& path,
                                                    const std::string& id) {
  return SendTestRequest(&loop, back_settings.caller_listener, path, id,
                         std::chrono::seconds(5));
}

std::shared_ptr<FakeCall> SendTestRequest(EventLoop* loop,
                                          const SocketAddress& listener,
                                          const std::string& path,
                                          const std::string& id,
                                          Duration time_left) {
  auto call = std::make_shared<FakeCall>();
  call->session = std::make_shared<HttpClientSession>(loop, listener, "");
  HttpRequest request;
  request.method = "GET";
  request.target = path;
  request.headers.Add("Test-Authority", "test.example");
  request.headers.Add("Test-Id", id);
  request.headers.Add(
      "Test-Time-Left",
      std::to_string(
          std::chrono::duration_cast<std::chrono::milliseconds>(time_left)
              .count()));
  call->session->Send(
      request,
      [weak = std::weak_ptr(call)](ExchangeResult result, TimePoint) {
        if (const auto done = weak.lock()) {
          done->is_over = true;
          done->result = std::move(result);
        }
      },
      BootClock::now());
  return call;
}

int RelayPair::ReadinessStatus(const SocketAddress& health) {
  auto session = std::make_shared<HttpClientSession>(&loop, health, "");
  HttpRequest request;
  request.method = "GET";
  request.target = "/ready";
  int status = 0;
  session->Send(
      request,
      [&status](const ExchangeResult& result, TimePoint) {
        status =
            result.end == ExchangeEnd::kAnswered ? result.response.status : -1;
      },
      BootClock::now());
  RunUntil(&loop, [&status] { return status != 0; });
  return status;
}

}  // namespace vanillatiller
