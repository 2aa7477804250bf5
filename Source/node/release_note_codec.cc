#include "node/release_note_codec.h"

#include "fleetconfig/fleetconfig.h"

namespace vanillatiller {

std::optional<std::string> ReleaseNoteCodec::Diff(
    std::string_view base, std::string_view value) const {
  Findings findings;
  const auto before = ParseFleetConfig(base, "base", &findings);
  const auto after = ParseFleetConfig(value, "value", &findings);
  if (!before || !after) return std::nullopt;
  return FormatNote(DiffNote(*before, *after));
}

std::optional<std::string> ReleaseNoteCodec::Apply(
    std::string_view base, std::string_view delta) const {
  Findings findings;
  const auto before = ParseFleetConfig(base, "base", &findings);
  const auto note = ParseNote(delta, "note", &findings);
  if (!before || !note) return std::nullopt;
  const auto after = ApplyNote(*before, *note, "note", &findings);
  if (!after) return std::nullopt;
  return FormatFleetConfig(*after);
}

}  // namespace vanillatiller
