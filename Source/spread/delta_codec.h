#ifndef VANILLATILLER_SOURCE_SPREAD_DELTA_CODEC_H_
#define VANILLATILLER_SOURCE_SPREAD_DELTA_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

namespace vanillatiller {

// Turns a value into a delta against a base, and back.
class DeltaCodec {
 public:
  virtual ~DeltaCodec() = default;
  // nullopt if there is no delta; the full value is sent then.
  virtual std::optional<std::string> Diff(std::string_view base,
                                          std::string_view value) const = 0;
  // The canonical value; nullopt if the delta does not fit the base.
  virtual std::optional<std::string> Apply(std::string_view base,
                                           std::string_view delta) const = 0;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_SPREAD_DELTA_CODEC_H_
