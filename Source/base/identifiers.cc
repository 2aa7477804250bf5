#include "base/identifiers.h"

#include <charconv>

#include "absl/strings/str_format.h"
#include "base/hash.h"

namespace vanillatiller {
namespace {

constexpr size_t kDigitsPerWord = 16;

std::optional<uint64_t> ParseWord(std::string_view digits) {
  uint64_t value = 0;
  const char* end = digits.data() + digits.size();
  const auto result = std::from_chars(digits.data(), end, value, 16);
  if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
  return value;
}

}  // namespace

std::string WideId::ToString() const {
  return absl::StrFormat("%016x%016x", high, low);
}

std::optional<WideId> ParseWideId(std::string_view text) {
  if (text.size() != 2 * kDigitsPerWord) return std::nullopt;
  const auto high = ParseWord(text.substr(0, kDigitsPerWord));
  const auto low = ParseWord(text.substr(kDigitsPerWord));
  if (!high || !low) return std::nullopt;
  return WideId{*high, *low};
}

uint32_t ShedHash(const RequestId& id) {
  return static_cast<uint32_t>(MixHash(id.high, id.low) >> 32);
}

}  // namespace vanillatiller
