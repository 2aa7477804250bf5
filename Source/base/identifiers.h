#ifndef VANILLATILLER_SOURCE_BASE_IDENTIFIERS_H_
#define VANILLATILLER_SOURCE_BASE_IDENTIFIERS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace vanillatiller {

// Distinguishes two runs of the process of one VM. Newer incarnations are
// larger. 0 means unknown.
using Incarnation = uint64_t;

// 128-bit identity, drawn at random.
struct WideId {
  uint64_t high = 0;
  uint64_t low = 0;

  auto operator<=>(const WideId&) const = default;

  // 32 lower-case hexadecimal digits.
  std::string ToString() const;
};

// Identity of a caller's request; the same in every call below it.
struct RequestId : WideId {
  auto operator<=>(const RequestId&) const = default;
};

// Identity of one attempt of one call.
struct CallId : WideId {
  auto operator<=>(const CallId&) const = default;
};

// Parses 32 hexadecimal digits; nullopt for anything else.
std::optional<WideId> ParseWideId(std::string_view text);

// Position of a request in the shedding order, in [0, 2^32). It depends on
// nothing but the identity, so every service sheds the same requests first.
uint32_t ShedHash(const RequestId& id);

struct WideIdHash {
  size_t operator()(const WideId& id) const { return id.high ^ id.low; }
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_BASE_IDENTIFIERS_H_
