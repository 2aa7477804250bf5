#ifndef VANILLATILLER_SOURCE_VTCTL_NOTE_JSON_H_
#define VANILLATILLER_SOURCE_VTCTL_NOTE_JSON_H_

#include <nlohmann/json.hpp>

#include "fleetconfig/fleetconfig.h"

namespace vanillatiller {

// Array of {"source", "line", "column", "text"}.
nlohmann::json FindingsToJson(const Findings& findings);

// The note with the field names of its TOML form.
nlohmann::json NoteToJson(const ReleaseNote& note);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTCTL_NOTE_JSON_H_
