#ifndef VANILLATILLER_SOURCE_FLEETCONFIG_FLEETCONFIG_H_
#define VANILLATILLER_SOURCE_FLEETCONFIG_FLEETCONFIG_H_

// Public header of the fleetconfig library: the fleet configuration, its
// parser, validation, canonical form and digest, and release notes, which
// describe the changes between two versions of the configuration.

#include "fleetconfig/canonical.h"     // IWYU pragma: export
#include "fleetconfig/config_check.h"  // IWYU pragma: export
#include "fleetconfig/fleet_config.h"  // IWYU pragma: export
#include "fleetconfig/release_note.h"  // IWYU pragma: export

#endif  // VANILLATILLER_SOURCE_FLEETCONFIG_FLEETCONFIG_H_
