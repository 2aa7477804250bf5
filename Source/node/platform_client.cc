#include "node/platform_client.h"

#include <httplib.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "node/log.h"

namespace vanillatiller {
namespace {

constexpr std::chrono::milliseconds kPollInterval{500};
constexpr std::chrono::seconds kTimeout{2};
constexpr int kOk = 200;

std::optional<Member> ParseVm(const nlohmann::json& entry) {
  if (!entry.is_object()) return std::nullopt;
  Member member;
  const std::initializer_list<std::pair<const char*, std::string*>> fields = {
      {"vm", &member.vm},
      {"service", &member.service},
      {"peer_address", &member.peer_address},
      {"failure_domain", &member.failure_domain},
      {"region", &member.region},
  };
  for (const auto& [name, target] : fields) {
    const auto found = entry.find(name);
    if (found == entry.end() || !found->is_string()) return std::nullopt;
    *target = found->get<std::string>();
  }
  const auto state = entry.find("state");
  if (state != entry.end() && *state == "leaving") {
    member.state = MemberState::kLeaving;
  }
  return member;
}

}  // namespace

std::optional<MemberList> ParseVmList(std::string_view text) {
  const auto list = nlohmann::json::parse(text, nullptr, false);
  if (!list.is_array()) return std::nullopt;
  MemberList members;
  for (const auto& entry : list) {
    if (auto member = ParseVm(entry)) members.push_back(std::move(*member));
  }
  return members;
}

PlatformClient::PlatformClient(const NodeSettings& settings, FleetView& view)
    : m_settings(settings), m_view(view) {}

PlatformClient::~PlatformClient() { Stop(); }

void PlatformClient::Start() {
  m_thread = std::thread([this] { Run(); });
}

void PlatformClient::Stop() {
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_wake.notify_all();
  if (m_thread.joinable()) m_thread.join();
}

void PlatformClient::Run() {
  std::unique_lock lock(m_mutex);
  while (!m_stopping) {
    lock.unlock();
    PollConfig();
    PollMembers();
    lock.lock();
    m_wake.wait_for(lock, kPollInterval, [this] { return m_stopping; });
  }
}

void PlatformClient::PollConfig() {
  httplib::Client client(m_settings.platform.ip, m_settings.platform.port);
  client.set_connection_timeout(kTimeout);
  client.set_read_timeout(kTimeout);
  const auto present = m_view.config();
  const uint64_t version = present ? present->version : 0;
  const auto result = client.Get("/v1/config?after=" + std::to_string(version));
  if (!result || result->status != kOk) return;
  Findings findings;
  auto config = ParseFleetConfig(result->body, "configuration", &findings);
  if (!config) {
    Log(LogLevel::kError, "config-refused",
        {{"findings", FormatFindings(findings)}});
    return;
  }
  if (config->version <= version) return;
  Log(LogLevel::kInfo, "config-in-force",
      {{"version", std::to_string(config->version)}});
  m_view.SetConfig(std::move(*config));
}

void PlatformClient::PollMembers() {
  httplib::Client client(m_settings.platform.ip, m_settings.platform.port);
  client.set_connection_timeout(kTimeout);
  client.set_read_timeout(kTimeout);
  const auto result = client.Get("/v1/vms");
  if (!result || result->status != kOk) return;
  if (auto members = ParseVmList(result->body)) {
    m_view.SetMembers(std::move(*members));
  }
}

}  // namespace vanillatiller
