#ifndef VANILLATILLER_TESTS_CROWD_CLIENT_H_
#define VANILLATILLER_TESTS_CROWD_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "eventio/eventio.h"

namespace vanillatiller {

// What each client of a crowd sends.
struct Crowd {
  size_t clients = 0;
  // The fields that follow the start of the request, and the empty line.
  std::string fields;
  // Sent over and over, until `bytes` have been sent or the connection ends.
  std::string piece;
  size_t bytes = 0;
  // Pause between two pieces.
  Duration pause{};
  // The requests are within the limits, so that they may be served.
  bool is_complete = false;
};

// Fields that end the head of a request with a body of this length, and with
// one in chunks.
std::string LengthFields(uint64_t bytes);
inline constexpr const char* kChunkedFields =
    "Transfer-Encoding: chunked\r\n\r\n";
// A chunk with `bytes` bytes of data.
std::string MakeChunk(size_t bytes);

// Sends a part of a request and keeps its connection open.
class CrowdClient : private TcpHandler {
 public:
  // `start` is the text of the request before the fields of the crowd, which
  // must outlive this object.
  CrowdClient(EventLoop* loop, const SocketAddress& node, const Crowd* crowd,
              std::string id, std::string start);
  ~CrowdClient() override;

  // Sends what can be sent now.
  void Continue(TimePoint now);
  // Whether it has sent everything, or can send no more.
  bool IsDone() const { return !m_connection || m_sent >= m_crowd->bytes; }
  const std::string& id() const { return m_id; }
  const std::string& received() const { return m_received; }
  // Status of the answer; 0 without one.
  int Status() const;

 private:
  void OnConnected(TimePoint) override;
  void OnData(std::string_view data, TimePoint) override { m_received += data; }
  void OnEnd(ConnectionEnd, TimePoint) override { m_connection.reset(); }

  const Crowd* m_crowd;
  const std::string m_id;
  const std::string m_start;
  std::shared_ptr<TcpConnection> m_connection;
  bool m_is_connected = false;
  size_t m_sent = 0;
  TimePoint m_next;
  std::string m_received;
};

using CrowdClients = std::vector<std::unique_ptr<CrowdClient>>;

// Lets all clients send what they can. Returns true once all are done.
bool ContinueAll(const CrowdClients& clients);

}  // namespace vanillatiller

#endif  // VANILLATILLER_TESTS_CROWD_CLIENT_H_
