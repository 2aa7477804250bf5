#ifndef VANILLATILLER_SOURCE_FLEETCONFIG_FLEETCONFIG_H_
#define VANILLATILLER_SOURCE_FLEETCONFIG_FLEETCONFIG_H_

// Public header of the fleetconfig library: the configuration value that
// operators declare, its parser and its checks.

#include "fleetconfig/fleet_config.h"  // IWYU pragma: export

#endif  // VANILLATILLER_SOURCE_FLEETCONFIG_FLEETCONFIG_H_
