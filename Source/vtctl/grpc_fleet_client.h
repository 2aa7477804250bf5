#ifndef VANILLATILLER_SOURCE_VTCTL_GRPC_FLEET_CLIENT_H_
#define VANILLATILLER_SOURCE_VTCTL_GRPC_FLEET_CLIENT_H_

#include <memory>
#include <string>

#include "vtctl/fleet_client.h"

namespace vanillatiller {

struct ClientSettings {
  // Time that one node has to answer.
  Duration timeout = std::chrono::seconds(2);
  // PEM files; all empty for plaintext.
  std::string ca_file;
  std::string certificate_file;
  std::string key_file;
};

// Talks to nodes over gRPC. nullptr, with a reason, if a file of the settings
// cannot be read.
std::unique_ptr<FleetClient> MakeGrpcFleetClient(const ClientSettings& settings,
                                                 Reason* reason);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTCTL_GRPC_FLEET_CLIENT_H_
