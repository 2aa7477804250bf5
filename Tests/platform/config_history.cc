#include "config_history.h"

#include <algorithm>
#include <utility>

namespace vanillatiller {

void ConfigHistory::Add(Version version, TimePoint acknowledged) {
  m_entries.push_back({std::move(version), acknowledged});
}

std::vector<const ConfigHistory::Version*> ConfigHistory::Possible(
    TimePoint sent, TimePoint until) const {
  std::vector<const Version*> versions;
  for (size_t i = 0; i < m_entries.size(); ++i) {
    const bool is_replaced = i + 1 < m_entries.size() &&
                             m_entries[i + 1].acknowledged + kBound < sent;
    if (!is_replaced && m_entries[i].acknowledged <= until) {
      versions.push_back(&m_entries[i].version);
    }
  }
  return versions;
}

std::set<std::string> ConfigHistory::AllowedServices(const std::string& prefix,
                                                     TimePoint sent,
                                                     TimePoint until) const {
  std::set<std::string> services;
  for (const Version* version : Possible(sent, until)) {
    const auto found = version->services.find(prefix);
    services.insert(found == version->services.end() ? "" : found->second);
  }
  return services;
}

bool ConfigHistory::MayRefuseBody(size_t size, TimePoint sent,
                                  TimePoint until) const {
  const auto versions = Possible(sent, until);
  return std::any_of(versions.begin(), versions.end(),
                     [size](const Version* version) {
                       return size > version->max_body_bytes;
                     });
}

}  // namespace vanillatiller
