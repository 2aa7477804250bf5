#define BOOST_TEST_MODULE slow_reader
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

#include "relay_harness.h"

namespace vanillatiller {
namespace {

using std::chrono::milliseconds;

// A client that sends requests and does not read, until told to.
class PausedClient : private TcpHandler {
 public:
  PausedClient(EventLoop* loop, const SocketAddress& address)
      : m_connection(TcpConnection::Connect(loop, address, this)) {}
  ~PausedClient() override {
    if (m_connection) m_connection->Close();
  }

  void Write(const std::string& text) { m_connection->Write(text); }
  bool IsConnected() const { return m_is_connected; }

 private:
  void OnConnected(TimePoint) override {
    m_is_connected = true;
    m_connection->PauseReading();
  }
  void OnData(std::string_view, TimePoint) override {}
  void OnEnd(ConnectionEnd, TimePoint) override { m_connection.reset(); }

  std::shared_ptr<TcpConnection> m_connection;
  bool m_is_connected = false;
};

// A client asks for a large answer, does not read it, and asks again on the
// same connection. When memory is needed for the second request or its answer,
// the connection that gives way is the one that the request came on. The
// request ends with it, and is neither answered nor sent on.
BOOST_AUTO_TEST_CASE(ConnectionOfTheRequestGivesWay) {
  struct Case {
    const char* what;
    // When memory gets short: before the second request, or before its answer.
    bool before_request;
  };
  for (const Case& item :
       {Case{"for the request", true}, Case{"for the answer", false}}) {
    BOOST_TEST_CONTEXT(item.what) {
      RelayPair pair;
      pair.back_settings.holding.callers.read_stall_time = milliseconds(300);
      pair.RestartBack();
      ByteBudget& memory = pair.loop.memory();
      // The calls of this node run on the server beside it.
      PausedClient client(&pair.loop, pair.back_settings.caller_listener);
      BOOST_TEST_REQUIRE(
          RunUntil(&pair.loop, [&] { return client.IsConnected(); }));
      // Idempotent requests are processed concurrently.
      client.Write(RequestText("GET", "/many/large", "first"));
      BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] {
        return pair.server.arrivals.size() == 1 &&
               memory.used(ByteUse::kOutput) > 0;
      }));
      const auto make_short = [&memory] {
        memory.SetCapacity(memory.used(ByteUse::kOutput) / 2);
      };
      if (item.before_request) {
        RunFor(&pair.loop, milliseconds(700));
        make_short();
        client.Write(RequestText("GET", "/many/large", "second"));
      } else {
        client.Write(RequestText("GET", "/many/hold", "second"));
        BOOST_TEST_REQUIRE(
            RunUntil(&pair.loop, [&] { return pair.server.held() == 1; }));
        RunFor(&pair.loop, milliseconds(700));
        make_short();
        pair.server.ReleaseHeldRequests(BootClock::now());
      }
      RunFor(&pair.loop, milliseconds(300));
      memory.SetCapacity(size_t{128} << 20);
      const auto after = pair.SendFromServer("/many/ok", "after");
      BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return after->is_over; }));
      BOOST_TEST(after->result.response.status == 200);
      pair.front.reset();
      pair.back.reset();
    }
  }
}

}  // namespace
}  // namespace vanillatiller
