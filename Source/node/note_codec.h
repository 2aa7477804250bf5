#ifndef VANILLATILLER_SOURCE_NODE_NOTE_CODEC_H_
#define VANILLATILLER_SOURCE_NODE_NOTE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "spread/spread.h"

namespace vanillatiller {

// Encodes the deltas that nodes exchange as release notes. A note that fails
// CheckNote, which also enforces rules for operators, cannot be applied; Diff
// then returns nullopt and the full value is sent.
class NoteCodec final : public DeltaCodec {
 public:
  std::optional<std::string> Diff(std::string_view base,
                                  std::string_view value) const override;
  std::optional<std::string> Apply(std::string_view base,
                                   std::string_view delta) const override;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_NOTE_CODEC_H_
