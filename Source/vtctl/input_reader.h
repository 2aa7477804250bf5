#ifndef VANILLATILLER_SOURCE_VTCTL_INPUT_READER_H_
#define VANILLATILLER_SOURCE_VTCTL_INPUT_READER_H_

#include <optional>
#include <string>

#include "fleetconfig/fleetconfig.h"
#include "vtctl/command.h"

namespace vanillatiller {

// Reads the files that a command names and prints what is wrong with them.
class InputReader {
 public:
  explicit InputReader(const Invocation& invocation)
      : m_invocation(invocation) {}

  // nullopt if the file cannot be read or has faults.
  std::optional<FleetConfig> ReadConfig(const std::string& path);
  std::optional<ReleaseNote> ReadNote(const std::string& path);

  void AddFindings(const Findings& findings);
  const Findings& findings() const { return m_findings; }

  // Prints the faults, on standard error or as JSON, and gives the exit status
  // that belongs to them; kOk if there are none.
  ExitStatus ReportFindings() const;

 private:
  std::optional<std::string> ReadFile(const std::string& path);

  const Invocation& m_invocation;
  Findings m_findings;
  bool m_has_read_error = false;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTCTL_INPUT_READER_H_
