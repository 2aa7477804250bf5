#ifndef VANILLATILLER_SOURCE_BASE_HTTP_STATUS_H_
#define VANILLATILLER_SOURCE_BASE_HTTP_STATUS_H_

#include <cstdint>

namespace vanillatiller {

// Whether a status is one of HTTP (RFC 9110, 15). Anything else comes from a
// faulty sender, and a message with it is no answer.
constexpr bool IsHttpStatus(int64_t status) {
  return status >= 100 && status < 600;
}

// Whether a response with this status ends its request; interim responses do
// not.
constexpr bool IsFinalHttpStatus(int64_t status) {
  return status >= 200 && IsHttpStatus(status);
}

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_BASE_HTTP_STATUS_H_
