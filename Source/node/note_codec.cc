#include "node/note_codec.h"

#include "fleetconfig/fleetconfig.h"

namespace vanillatiller {
namespace {

constexpr std::string_view kFindingSource = "peer";

}  // namespace

std::optional<std::string> NoteCodec::Diff(std::string_view base,
                                           std::string_view value) const {
  Findings findings;
  const auto before = ParseFleetConfig(base, kFindingSource, &findings);
  const auto after = ParseFleetConfig(value, kFindingSource, &findings);
  if (!before || !after) return std::nullopt;
  const ReleaseNote note = DiffNote(*before, *after);
  if (!ApplyNote(*before, note, kFindingSource, &findings)) return std::nullopt;
  return FormatNote(note);
}

std::optional<std::string> NoteCodec::Apply(std::string_view base,
                                            std::string_view delta) const {
  Findings findings;
  const auto before = ParseFleetConfig(base, kFindingSource, &findings);
  const auto note = ParseNote(delta, kFindingSource, &findings);
  if (!before || !note) return std::nullopt;
  const auto after = ApplyNote(*before, *note, kFindingSource, &findings);
  if (!after) return std::nullopt;
  return FormatFleetConfig(*after);
}

}  // namespace vanillatiller
