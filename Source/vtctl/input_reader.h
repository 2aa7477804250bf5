#ifndef VANILLATILLER_SOURCE_VTCTL_INPUT_READER_H_
#define VANILLATILLER_SOURCE_VTCTL_INPUT_READER_H_

#include <optional>
#include <string>

#include "fleetconfig/fleetconfig.h"
#include "vtctl/command.h"

namespace vanillatiller {

// Reads the input files of a command and reports the errors found in them.
class InputReader {
 public:
  explicit InputReader(const Invocation& invocation)
      : m_invocation(invocation) {}

  // Return nullopt if the file cannot be read or is invalid.
  std::optional<FleetConfig> ReadConfig(const std::string& path);
  std::optional<ReleaseNote> ReadNote(const std::string& path);

  void AddFindings(const Findings& findings);
  const Findings& findings() const { return m_findings; }

  // Prints the findings, on standard error or as JSON, and returns the matching
  // exit status; kOk if there are none.
  ExitStatus ReportFindings() const;

 private:
  std::optional<std::string> ReadFile(const std::string& path);

  const Invocation& m_invocation;
  Findings m_findings;
  bool m_has_read_error = false;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTCTL_INPUT_READER_H_
