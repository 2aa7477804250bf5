#ifndef VANILLATILLER_SOURCE_EVENTIO_HTTP_MESSAGE_H_
#define VANILLATILLER_SOURCE_EVENTIO_HTTP_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace vanillatiller {

struct HttpHeader {
  std::string name;
  std::string value;
};

// Ordered header fields. Names are case-insensitive.
class HttpHeaders {
 public:
  void Add(std::string_view name, std::string_view value);
  // Returns the value of the first field with this name.
  std::optional<std::string_view> Find(std::string_view name) const;
  void Remove(std::string_view name);
  // Removes hop-by-hop fields (RFC 9110, 7.6.1) and the fields that define
  // message framing.
  void RemoveConnectionFields();

  const std::vector<HttpHeader>& fields() const { return m_fields; }
  // Memory of the list of fields without their texts, in bytes.
  size_t ListBytes() const { return m_fields.capacity() * sizeof(HttpHeader); }

 private:
  friend class HttpReader;
  std::vector<HttpHeader> m_fields;
};

struct HttpRequest {
  std::string method;
  // Path and query.
  std::string target;
  HttpHeaders headers;
  std::string body;
};

struct HttpResponse {
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

// Serializes the head of a request whose body has `body_bytes` bytes.
// Content-Length is added if there is a body or the method normally has one.
std::string FormatRequestHead(const HttpRequest& request, size_t body_bytes);
// Serializes a response. `has_body` is false for responses to HEAD requests.
std::string FormatResponse(const HttpResponse& response, bool keep_alive,
                           bool has_body);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_EVENTIO_HTTP_MESSAGE_H_
