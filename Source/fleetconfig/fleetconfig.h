#ifndef VANILLATILLER_SOURCE_FLEETCONFIG_FLEETCONFIG_H_
#define VANILLATILLER_SOURCE_FLEETCONFIG_FLEETCONFIG_H_

// Public header of the fleetconfig library: the configuration value that
// operators declare, its parser, checks, canonical form and digest, and the
// release notes that lead from one value to the next.

#include "fleetconfig/canonical.h"     // IWYU pragma: export
#include "fleetconfig/config_check.h"  // IWYU pragma: export
#include "fleetconfig/fleet_config.h"  // IWYU pragma: export
#include "fleetconfig/release_note.h"  // IWYU pragma: export

#endif  // VANILLATILLER_SOURCE_FLEETCONFIG_FLEETCONFIG_H_
