#include "node/platform_client.h"

#include <httplib.h>

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace vanillatiller {
namespace {

constexpr std::chrono::seconds kTimeout{2};
// Added to the long-poll time to get the read timeout of the client.
constexpr std::chrono::seconds kWatchMargin{5};
constexpr int kOk = 200;
constexpr int kNoContent = 204;
constexpr int kTooManyRequests = 429;

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

PlatformClient::PlatformClient(const ListenAddress& address)
    : m_client(std::make_unique<httplib::Client>(address.ip, address.port)) {
  m_client->set_connection_timeout(kTimeout);
  m_client->set_read_timeout(kTimeout);
  m_client->set_keep_alive(true);
  m_client->set_tcp_nodelay(true);
}

PlatformClient::~PlatformClient() = default;

ServiceAnswer PlatformClient::WatchConfig(uint64_t after_version,
                                          Duration wait) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  const milliseconds wait_time = duration_cast<milliseconds>(wait);
  m_client->set_read_timeout(wait_time + kWatchMargin);
  const auto result =
      m_client->Get("/v1/config?after=" + std::to_string(after_version) +
                    "&wait_ms=" + std::to_string(wait_time.count()));
  if (!result) return {ServiceStatus::kUnavailable, ""};
  switch (result->status) {
    case kOk:
      return {ServiceStatus::kValue, result->body};
    case kNoContent:
      return {ServiceStatus::kNotModified, ""};
    case kTooManyRequests:
      return {ServiceStatus::kRateLimited, ""};
    default:
      return {ServiceStatus::kUnavailable, ""};
  }
}

std::optional<VmListAnswer> PlatformClient::ReadVmList() {
  const auto result = m_client->Get("/v1/vms");
  if (!result || result->status != kOk) return std::nullopt;
  auto members = ParseVmList(result->body);
  if (!members) return std::nullopt;
  return VmListAnswer{std::move(*members), result->body.size()};
}

BackendHealth PlatformClient::ReadHealth() {
  const auto result = m_client->Get("/health");
  if (!result) return {};
  const auto body = nlohmann::json::parse(result->body, nullptr, false);
  BackendHealth health;
  health.healthy = result->status == kOk;
  if (!body.is_object()) return health;
  const auto read_flag = [&body](const char* name, bool default_value) {
    const auto found = body.find(name);
    return found != body.end() && found->is_boolean() ? found->get<bool>()
                                                      : default_value;
  };
  health.healthy = health.healthy && read_flag("healthy", true);
  health.leaving = read_flag("leaving", false);
  return health;
}

void PlatformClient::Cancel() { m_client->stop(); }

}  // namespace vanillatiller
