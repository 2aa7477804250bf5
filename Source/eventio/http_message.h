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

// Header fields in their order. Names are compared without case.
class HttpHeaders {
 public:
  void Add(std::string_view name, std::string_view value);
  // Value of the first field of this name; nullopt if there is none.
  std::optional<std::string_view> Find(std::string_view name) const;
  void Remove(std::string_view name);
  // Drops the fields that concern one connection only (RFC 9110, 7.6.1) and
  // those that frame the body.
  void RemoveConnectionFields();

  const std::vector<HttpHeader>& fields() const { return m_fields; }

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

// Text of a request; the body gets a length unless the method has none.
std::string FormatRequest(const HttpRequest& request);
// `has_body` is false for answers to HEAD.
std::string FormatResponse(const HttpResponse& response, bool keep_alive,
                           bool has_body);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_EVENTIO_HTTP_MESSAGE_H_
