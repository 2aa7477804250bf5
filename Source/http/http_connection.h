#ifndef VANILLATILLER_SOURCE_HTTP_HTTP_CONNECTION_H_
#define VANILLATILLER_SOURCE_HTTP_HTTP_CONNECTION_H_

#include <httplib.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <string>

#include "http/memory_budget.h"

namespace vanillatiller {

// One connection of an HttpServer, served by one thread. Gives up a client that
// makes no progress: after a time-out, and earlier while others wait for its
// thread or its memory.
class HttpConnection : public httplib::Stream {
 public:
  using Clock = std::chrono::steady_clock;
  // Whether the thread, or the memory of the request, is needed for others, and
  // whether the server has been stopped.
  struct Server {
    std::function<bool()> is_saturated;
    std::function<bool()> is_short_of_memory;
    std::function<bool()> is_stopped;
  };

  // Takes ownership of the socket.
  HttpConnection(socket_t socket, Server server);
  ~HttpConnection() override;
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // The connection that this thread serves; null outside of a request.
  static HttpConnection* Current();

  // Waits for the next request. False if the connection is to be closed.
  bool WaitForRequest();
  // Called by the handler of a request of which a part is left unread: nothing
  // that follows can be told from that part.
  void CloseAfterResponse() { m_closes = true; }
  bool closes() const { return m_closes; }
  // Memory that is held until the response has been sent.
  MemoryCharge& charge() { return m_charge; }
  // The response has been sent.
  void FinishRequest() { m_charge.Resize(0); }

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* data, size_t size) override;
  ssize_t write(const char* data, size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  socket_t socket() const override { return m_socket; }

 private:
  // Waits for `events`; false if the client is given up.
  bool Wait(short events, Clock::duration timeout) const;
  // Whether a client that makes no progress has had its time at `now`.
  bool IsStalled(Clock::time_point now) const;
  // Closes the sending direction, and reads for a moment what the client still
  // sends, so that it can read the response.
  void Linger() const;

  // Bytes of a request that count as progress.
  static constexpr size_t kProgressBytes = size_t{16} << 10;

  const socket_t m_socket;
  const Server m_server;
  std::array<char, 4096> m_buffer;
  size_t m_begin = 0;
  size_t m_end = 0;
  bool m_closes = false;
  // Of the request that is being read.
  Clock::time_point m_progress_at;
  size_t m_received = 0;
  MemoryCharge m_charge;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_HTTP_HTTP_CONNECTION_H_
