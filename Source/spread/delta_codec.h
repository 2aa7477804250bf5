#ifndef VANILLATILLER_SOURCE_SPREAD_DELTA_CODEC_H_
#define VANILLATILLER_SOURCE_SPREAD_DELTA_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

namespace vanillatiller {

// Encodes a value as a delta against a base value and applies such deltas.
class DeltaCodec {
 public:
  virtual ~DeltaCodec() = default;
  // Returns nullopt if no delta can be produced; the full value is sent
  // instead.
  virtual std::optional<std::string> Diff(std::string_view base,
                                          std::string_view value) const = 0;
  // Returns the canonical value, or nullopt if the delta does not apply to the
  // base.
  virtual std::optional<std::string> Apply(std::string_view base,
                                           std::string_view delta) const = 0;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_SPREAD_DELTA_CODEC_H_
