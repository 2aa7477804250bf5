#ifndef VANILLATILLER_SOURCE_VTCTL_NOTE_JSON_H_
#define VANILLATILLER_SOURCE_VTCTL_NOTE_JSON_H_

#include <nlohmann/json.hpp>

#include "fleetconfig/fleetconfig.h"

namespace vanillatiller {

// Returns an array of {"source", "line", "column", "text"}.
nlohmann::json FindingsToJson(const Findings& findings);

// Returns the note as JSON, with the same field names as in TOML.
nlohmann::json NoteToJson(const ReleaseNote& note);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTCTL_NOTE_JSON_H_
