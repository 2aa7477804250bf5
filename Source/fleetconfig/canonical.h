#ifndef VANILLATILLER_SOURCE_FLEETCONFIG_CANONICAL_H_
#define VANILLATILLER_SOURCE_FLEETCONFIG_CANONICAL_H_

#include <string>

#include "base/base.h"
#include "fleetconfig/fleet_config.h"

namespace vanillatiller {

// Sorts everything whose order has no meaning: ranks by their order, all else
// by name. Two values with the same meaning become equal.
void Canonicalize(FleetConfig* config);

// Canonical TOML text; the same for values that differ only in the order of
// their items. Parsing it gives the canonical value again.
std::string FormatFleetConfig(const FleetConfig& config);

// SHA-256 of the canonical text.
Sha256Digest ConfigDigest(const FleetConfig& config);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_FLEETCONFIG_CANONICAL_H_
