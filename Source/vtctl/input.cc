#include "vtctl/input.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

#include "vtctl/note_json.h"

namespace vanillatiller {

std::optional<FleetConfig> Input::ReadConfig(const std::string& path) {
  const auto text = ReadFile(path);
  if (!text) return std::nullopt;
  return LoadFleetConfig(*text, path, &m_findings);
}

std::optional<ReleaseNote> Input::ReadNote(const std::string& path) {
  const auto text = ReadFile(path);
  if (!text) return std::nullopt;
  return ParseNote(*text, path, &m_findings);
}

void Input::AddFindings(const Findings& findings) {
  m_findings.insert(m_findings.end(), findings.begin(), findings.end());
}

ExitStatus Input::Finish() const {
  if (m_findings.empty()) return ExitStatus::kOk;
  if (m_invocation.options.json) {
    const nlohmann::json result = {{"ok", false},
                                   {"findings", FindingsToJson(m_findings)}};
    *m_invocation.out << result.dump(2) << '\n';
  } else {
    *m_invocation.error << FormatFindings(m_findings);
  }
  return m_is_unreadable ? ExitStatus::kUnreachable : ExitStatus::kFaults;
}

std::optional<std::string> Input::ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  if (file) text << file.rdbuf();
  if (!file || file.bad()) {
    m_findings.push_back(
        {path, 0, 0, std::string("cannot read the file: ") + strerror(errno)});
    m_is_unreadable = true;
    return std::nullopt;
  }
  return text.str();
}

}  // namespace vanillatiller
