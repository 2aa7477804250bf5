#ifndef VANILLATILLER_SOURCE_EVENTIO_RESPONSE_ORDER_H_
#define VANILLATILLER_SOURCE_EVENTIO_RESPONSE_ORDER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "eventio/http_message.h"

namespace vanillatiller {

// Decides which pipelined requests of one HTTP connection may run at the same
// time, and in which order their responses are sent.
//
// Load pattern: a client sends several idempotent requests before the first one
// is answered. They run concurrently, and each response is held until all
// earlier responses have been sent (RFC 9112, 9.3.2). A non-idempotent request
// runs alone: it may not run if an earlier response closes the connection,
// because the client then sends it again.
//
// Memory is bounded: if the first request is slow, no further requests start
// once kMaxHeldBytes of later responses are held. At most kMaxConcurrent
// responses can be added to them.
class ResponseOrder {
 public:
  using RequestId = uint64_t;

  struct ReadyResponse {
    HttpResponse response;
    bool is_head = false;
    // The connection closes after this response.
    bool is_last = false;
  };

  static constexpr size_t kMaxConcurrent = 16;
  static constexpr size_t kMaxHeldBytes = size_t{256} << 10;

  // Whether the next request of the connection may start now.
  bool MayStart(bool is_idempotent) const;
  // The next request of the connection starts. IDs begin at 1.
  RequestId Start(bool is_idempotent, bool is_head);
  // Returns the responses that can be sent, in order. A response to an unknown
  // or answered request is ignored.
  std::vector<ReadyResponse> OnResponse(RequestId id, HttpResponse response);
  // No further requests start; the response to the last one that has started
  // closes the connection.
  void Close() { m_is_closing = true; }

  bool IsClosing() const { return m_is_closing; }
  // Whether all started requests have been answered.
  bool IsEmpty() const { return m_requests.empty(); }
  // Size of the bodies of responses that wait for earlier ones.
  size_t HeldBytes() const { return m_held_bytes; }
  // Requests that have no response yet, in order.
  std::vector<RequestId> Unanswered() const;

 private:
  struct Request {
    RequestId id = 0;
    bool is_idempotent = false;
    bool is_head = false;
    std::optional<HttpResponse> response;
  };

  std::deque<Request> m_requests;
  RequestId m_last_id = 0;
  size_t m_held_bytes = 0;
  bool m_is_closing = false;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_EVENTIO_RESPONSE_ORDER_H_
