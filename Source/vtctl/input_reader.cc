#include "vtctl/input_reader.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

#include "vtctl/note_json.h"

namespace vanillatiller {

std::optional<FleetConfig> InputReader::ReadConfig(const std::string& path) {
  const auto text = ReadFile(path);
  if (!text) return std::nullopt;
  return LoadFleetConfig(*text, path, &m_findings);
}

std::optional<ReleaseNote> InputReader::ReadNote(const std::string& path) {
  const auto text = ReadFile(path);
  if (!text) return std::nullopt;
  return ParseNote(*text, path, &m_findings);
}

void InputReader::AddFindings(const Findings& findings) {
  m_findings.insert(m_findings.end(), findings.begin(), findings.end());
}

ExitStatus InputReader::ReportFindings() const {
  if (m_findings.empty()) return ExitStatus::kOk;
  if (m_invocation.options.json) {
    const nlohmann::json result = {{"ok", false},
                                   {"findings", FindingsToJson(m_findings)}};
    *m_invocation.out << result.dump(2) << '\n';
  } else {
    *m_invocation.error << FormatFindings(m_findings);
  }
  return m_has_read_error ? ExitStatus::kUnreachable : ExitStatus::kFailed;
}

std::optional<std::string> InputReader::ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  if (file) text << file.rdbuf();
  if (!file || file.bad()) {
    m_findings.push_back(
        {path, 0, 0, std::string("cannot read the file: ") + strerror(errno)});
    m_has_read_error = true;
    return std::nullopt;
  }
  return text.str();
}

}  // namespace vanillatiller
