#ifndef VANILLATILLER_SOURCE_BASE_FINDING_H_
#define VANILLATILLER_SOURCE_BASE_FINDING_H_

#include <cstdint>
#include <string>
#include <vector>

namespace vanillatiller {

// One fault found in a file or a value, with its place.
struct Finding {
  // File name or another name of the source.
  std::string source;
  // Counted from 1; 0 means that the place is not known.
  uint32_t line = 0;
  uint32_t column = 0;
  // What is wrong, what was expected and what was found.
  std::string text;

  bool operator==(const Finding&) const = default;
};

using Findings = std::vector<Finding>;

// One finding a line, as "source:line:column: text". The place is left out
// where it is not known.
std::string FormatFindings(const Findings& findings);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_BASE_FINDING_H_
