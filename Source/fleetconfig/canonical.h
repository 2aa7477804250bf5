#ifndef VANILLATILLER_SOURCE_FLEETCONFIG_CANONICAL_H_
#define VANILLATILLER_SOURCE_FLEETCONFIG_CANONICAL_H_

#include <string>

#include "base/base.h"
#include "fleetconfig/fleet_config.h"

namespace vanillatiller {

// Sorts all items whose order is not significant: ranks by `order`, links by
// their regions, everything else by name. Equivalent configurations compare
// equal afterwards.
void Canonicalize(FleetConfig* config);

// Returns the canonical TOML text, which does not depend on the order of the
// items. Parsing it yields the canonical configuration again.
std::string FormatFleetConfig(const FleetConfig& config);

// Returns the SHA-256 digest of the canonical text.
Sha256Digest ConfigDigest(const FleetConfig& config);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_FLEETCONFIG_CANONICAL_H_
