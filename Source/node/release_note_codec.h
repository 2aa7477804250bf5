#ifndef VANILLATILLER_SOURCE_NODE_RELEASE_NOTE_CODEC_H_
#define VANILLATILLER_SOURCE_NODE_RELEASE_NOTE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "spread/spread.h"

namespace vanillatiller {

// Sends changes of the configuration between nodes as release notes. Applying
// one checks the digest of the whole result.
class ReleaseNoteCodec final : public DeltaCodec {
 public:
  std::optional<std::string> Diff(std::string_view base,
                                  std::string_view value) const override;
  std::optional<std::string> Apply(std::string_view base,
                                   std::string_view delta) const override;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_RELEASE_NOTE_CODEC_H_
