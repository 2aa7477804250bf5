#ifndef VANILLATILLER_SOURCE_NODE_SETTINGS_H_
#define VANILLATILLER_SOURCE_NODE_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "admission/admission_policy.h"
#include "base/base.h"
#include "wire/credentials.h"

namespace vanillatiller {

// An IP address and a port.
struct ListenAddress {
  std::string ip = "127.0.0.1";
  uint16_t port = 0;

  std::string ToString() const { return ip + ":" + std::to_string(port); }
};

enum class RetryPolicyKind : uint8_t { kChainBudget, kPlain };
enum class RoutingPolicy : uint8_t { kTwoChoices, kRandom };

// Settings of one node, read from its settings file.
struct NodeSettings {
  std::string vm;
  std::string service;
  std::string region;
  std::string failure_domain;

  ListenAddress public_listener;
  ListenAddress local_listener;
  ListenAddress peer_listener;
  ListenAddress admin_listener;
  // Address at which other nodes reach the peer listener. Differs from
  // peer_listener only if connections pass through a forwarder.
  ListenAddress advertised_peer;
  // The backend server beside this node.
  ListenAddress backend;
  // The configuration service and VM list of the platform.
  ListenAddress platform;

  // Allows a peer listener without TLS on a non-loopback address.
  bool allow_plaintext = false;
  // For the peer listener and for connections to peers.
  CertificateFiles certificates;

  // Maximum body size of a request or an answer, in bytes.
  size_t max_body_bytes = 1 << 20;
  // Bodies of all requests and answers that are held for clients at the same
  // time, in bytes. The process may need four times as much.
  size_t max_held_body_bytes = 32 << 20;
  // Maximum number of threads per HTTP listener.
  size_t max_http_threads = 1024;

  AdmissionPolicy admission = AdmissionPolicy::kAdaptive;
  RetryPolicyKind retries = RetryPolicyKind::kChainBudget;
  RoutingPolicy routing = RoutingPolicy::kTwoChoices;
};

// Parses TOML settings. Returns nullopt if there are findings; each finding
// gives its position in `source`.
std::optional<NodeSettings> ParseSettings(std::string_view text,
                                          std::string_view source,
                                          Findings* findings);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_SETTINGS_H_
