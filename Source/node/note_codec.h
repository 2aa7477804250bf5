#ifndef VANILLATILLER_SOURCE_NODE_NOTE_CODEC_H_
#define VANILLATILLER_SOURCE_NODE_NOTE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "spread/spread.h"

namespace vanillatiller {

// Release notes as the deltas between nodes. A note that breaks a rule for
// operators (CheckNote) cannot be applied; the full value is sent then.
class NoteCodec final : public DeltaCodec {
 public:
  std::optional<std::string> Diff(std::string_view base,
                                  std::string_view value) const override;
  std::optional<std::string> Apply(std::string_view base,
                                   std::string_view delta) const override;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_NOTE_CODEC_H_
