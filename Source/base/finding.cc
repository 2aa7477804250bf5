#include "base/finding.h"

#include "absl/strings/str_cat.h"

namespace vanillatiller {

std::string FormatFindings(const Findings& findings) {
  std::string result;
  for (const Finding& finding : findings) {
    absl::StrAppend(&result, finding.source, ":");
    if (finding.line != 0) {
      absl::StrAppend(&result, finding.line, ":", finding.column, ":");
    }
    absl::StrAppend(&result, " ", finding.text, "\n");
  }
  return result;
}

}  // namespace vanillatiller
