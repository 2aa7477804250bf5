#include "node/settings.h"

#include <arpa/inet.h>

#include <array>
#include <span>
#include <utility>

#include "toml/toml.h"

namespace vanillatiller {
namespace {

template <typename T>
using NameTable = std::span<const std::pair<std::string_view, T>>;

constexpr std::array<std::pair<std::string_view, AdmissionPolicy>, 3>
    kAdmissionPolicies = {{{"adaptive", AdmissionPolicy::kAdaptive},
                           {"fixed", AdmissionPolicy::kFixed},
                           {"none", AdmissionPolicy::kNone}}};
constexpr std::array<std::pair<std::string_view, RetryPolicyKind>, 2>
    kRetryPolicies = {{{"chain-budget", RetryPolicyKind::kChainBudget},
                       {"plain", RetryPolicyKind::kPlain}}};
constexpr std::array<std::pair<std::string_view, RoutingPolicy>, 2>
    kRoutingPolicies = {{{"two-choices", RoutingPolicy::kTwoChoices},
                         {"random", RoutingPolicy::kRandom}}};

constexpr int64_t kMaxBodyBytes = 64 << 20;
constexpr int64_t kMaxHeldBodyBytes = int64_t{1} << 40;
// Bodies of the largest size that fit into what is held at least.
constexpr size_t kHeldLargestBodies = 2;
constexpr int64_t kMaxHttpThreads = 16384;

bool IsIpAddress(const std::string& text) {
  std::array<unsigned char, sizeof(in6_addr)> buffer;
  return inet_pton(AF_INET, text.c_str(), buffer.data()) == 1 ||
         inet_pton(AF_INET6, text.c_str(), buffer.data()) == 1;
}

bool IsLoopback(const std::string& ip) {
  return ip.starts_with("127.") || ip == "::1";
}

class SettingsReader {
 public:
  SettingsReader(std::string_view source, Findings* findings)
      : m_reader(source, findings) {}

  void Read(const toml::table& root, NodeSettings* settings) {
    m_reader.CheckFields(root, {"node", "listeners", "backend", "platform",
                                "tls", "limits", "policy"});
    if (const toml::table* node = RequireSection(root, "node")) {
      m_reader.CheckFields(*node,
                           {"vm", "service", "region", "failure_domain"});
      m_reader.ReadString(*node, "vm", &settings->vm);
      m_reader.ReadString(*node, "service", &settings->service);
      m_reader.ReadString(*node, "region", &settings->region);
      m_reader.ReadString(*node, "failure_domain", &settings->failure_domain);
    }
    if (const toml::table* listeners = RequireSection(root, "listeners")) {
      ReadListeners(*listeners, settings);
    }
    if (const toml::table* backend = RequireSection(root, "backend")) {
      m_reader.CheckFields(*backend, {"address"});
      ReadAddress(*backend, "address", &settings->backend);
    }
    if (const toml::table* platform = RequireSection(root, "platform")) {
      m_reader.CheckFields(*platform, {"address"});
      ReadAddress(*platform, "address", &settings->platform);
    }
    ReadOptionalSections(root, settings);
    CheckPeerListener(root, *settings);
  }

  TomlReader& toml_reader() { return m_reader; }

 private:
  const toml::table* RequireSection(const toml::table& root,
                                    std::string_view name) {
    const toml::node* node = m_reader.Require(root, name);
    return node == nullptr ? nullptr : node->as_table();
  }

  void ReadListeners(const toml::table& table, NodeSettings* settings) {
    m_reader.CheckFields(table, {"public", "local", "peer", "admin",
                                 "advertised_peer", "allow_plaintext"});
    ReadAddress(table, "public", &settings->public_listener);
    ReadAddress(table, "local", &settings->local_listener);
    ReadAddress(table, "peer", &settings->peer_listener);
    ReadAddress(table, "admin", &settings->admin_listener);
    settings->advertised_peer = settings->peer_listener;
    if (table.get("advertised_peer") != nullptr) {
      ReadAddress(table, "advertised_peer", &settings->advertised_peer);
    }
    m_reader.ReadBool(table, "allow_plaintext", &settings->allow_plaintext);
    if (!IsLoopback(settings->local_listener.ip)) {
      m_reader.Report(table["local"].node()->source(),
                      "field \"local\": expected a loopback address, found \"" +
                          settings->local_listener.ip + "\"");
    }
  }

  void ReadOptionalSections(const toml::table& root, NodeSettings* settings) {
    if (const toml::table* tls = root["tls"].as_table()) {
      m_reader.CheckFields(*tls, {"certificate", "key", "ca"});
      m_reader.ReadString(*tls, "certificate",
                          &settings->certificates.certificate);
      m_reader.ReadString(*tls, "key", &settings->certificates.key);
      m_reader.ReadString(*tls, "ca", &settings->certificates.ca);
    }
    if (const toml::table* limits = root["limits"].as_table()) {
      m_reader.CheckFields(*limits, {"max_body_bytes", "max_held_body_bytes",
                                     "max_http_threads"});
      m_reader.ReadInteger(*limits, "max_body_bytes", 1, kMaxBodyBytes,
                           &settings->max_body_bytes);
      m_reader.ReadInteger(*limits, "max_held_body_bytes", 1, kMaxHeldBodyBytes,
                           &settings->max_held_body_bytes);
      CheckHeldBodies(*limits, settings);
      m_reader.ReadInteger(*limits, "max_http_threads", 1, kMaxHttpThreads,
                           &settings->max_http_threads);
    }
    if (const toml::table* policy = root["policy"].as_table()) {
      m_reader.CheckFields(*policy, {"admission", "retries", "routing"});
      ReadEnum<AdmissionPolicy>(*policy, "admission", kAdmissionPolicies,
                                &settings->admission);
      ReadEnum<RetryPolicyKind>(*policy, "retries", kRetryPolicies,
                                &settings->retries);
      ReadEnum<RoutingPolicy>(*policy, "routing", kRoutingPolicies,
                              &settings->routing);
    }
  }

  void CheckHeldBodies(const toml::table& limits, NodeSettings* settings) {
    const size_t least = kHeldLargestBodies * settings->max_body_bytes;
    if (settings->max_held_body_bytes >= least) return;
    if (const toml::node* set = limits.get("max_held_body_bytes")) {
      m_reader.Report(set->source(),
                      "field \"max_held_body_bytes\": expected at least " +
                          std::to_string(kHeldLargestBodies) +
                          " times max_body_bytes, " + std::to_string(least));
    }
    settings->max_held_body_bytes = least;
  }

  // Without certificates, peers are not authenticated, so the peer listener
  // must be on loopback unless the operator sets allow_plaintext.
  void CheckPeerListener(const toml::table& root,
                         const NodeSettings& settings) {
    if (!settings.certificates.IsEmpty() || settings.allow_plaintext ||
        IsLoopback(settings.peer_listener.ip)) {
      return;
    }
    m_reader.Report(root.source(),
                    "the peer listener is not on a loopback address: expected "
                    "section \"tls\" or allow_plaintext = true");
  }

  void ReadAddress(const toml::table& table, std::string_view key,
                   ListenAddress* out) {
    std::string text;
    m_reader.ReadString(table, key, &text);
    if (text.empty()) return;
    const size_t colon = text.rfind(':');
    const std::string port =
        colon == std::string::npos ? std::string() : text.substr(colon + 1);
    const bool is_number =
        !port.empty() && port.size() <= 5 &&
        port.find_first_not_of("0123456789") == std::string::npos;
    const std::string ip = text.substr(0, colon);
    if (!is_number || std::stoul(port) == 0 || std::stoul(port) > 65535 ||
        !IsIpAddress(ip)) {
      m_reader.Report(table[key].node()->source(),
                      "field \"" + std::string(key) +
                          "\": expected \"IP:PORT\", found \"" + text + "\"");
      return;
    }
    out->ip = ip;
    out->port = static_cast<uint16_t>(std::stoul(port));
  }

  template <typename T>
  void ReadEnum(const toml::table& table, std::string_view key,
                NameTable<T> choices, T* out) {
    if (table.get(key) == nullptr) return;
    std::string text;
    m_reader.ReadString(table, key, &text);
    std::string expected;
    for (const auto& [name, value] : choices) {
      if (name == text) {
        *out = value;
        return;
      }
      expected += (expected.empty() ? "\"" : ", \"") + std::string(name) + "\"";
    }
    m_reader.Report(table[key].node()->source(),
                    "field \"" + std::string(key) + "\": expected one of " +
                        expected + ", found \"" + text + "\"");
  }

  TomlReader m_reader;
};

}  // namespace

std::optional<NodeSettings> ParseSettings(std::string_view text,
                                          std::string_view source,
                                          Findings* findings) {
  const size_t findings_before = findings->size();
  SettingsReader reader(source, findings);
  NodeSettings settings;
  try {
    reader.Read(toml::parse(text, source), &settings);
  } catch (const toml::parse_error& error) {
    reader.toml_reader().Report(error.source(),
                                std::string(error.description()));
  }
  if (findings->size() != findings_before) return std::nullopt;
  return settings;
}

}  // namespace vanillatiller
