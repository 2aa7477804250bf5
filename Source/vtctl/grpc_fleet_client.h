#ifndef VANILLATILLER_SOURCE_VTCTL_GRPC_FLEET_CLIENT_H_
#define VANILLATILLER_SOURCE_VTCTL_GRPC_FLEET_CLIENT_H_

#include <memory>
#include <string>

#include "vtctl/fleet_client.h"

namespace vanillatiller {

struct ClientSettings {
  // Timeout of each call.
  Duration timeout = std::chrono::seconds(2);
  // PEM files. Plaintext is used if all are empty.
  std::string ca_file;
  std::string certificate_file;
  std::string key_file;
};

// Creates a client that calls nodes over gRPC. Returns nullptr and sets
// `reason` if a file named in the settings cannot be read.
std::unique_ptr<FleetClient> MakeGrpcFleetClient(const ClientSettings& settings,
                                                 Reason* reason);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTCTL_GRPC_FLEET_CLIENT_H_
