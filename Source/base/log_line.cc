#include "base/log_line.h"

namespace vanillatiller {
namespace {

bool NeedsQuotes(std::string_view value) {
  return value.empty() ||
         value.find_first_of(" \"=\n\t") != std::string_view::npos;
}

}  // namespace

void AppendLogField(std::string_view key, std::string_view value,
                    std::string* line) {
  *line += " ";
  *line += key;
  *line += "=";
  if (!NeedsQuotes(value)) {
    *line += value;
    return;
  }
  *line += '"';
  for (const char c : value) {
    if (c == '\n') {
      *line += "\\n";
      continue;
    }
    if (c == '"' || c == '\\') *line += '\\';
    *line += c;
  }
  *line += '"';
}

}  // namespace vanillatiller
