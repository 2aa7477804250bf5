#ifndef VANILLATILLER_SOURCE_SPREAD_SPREAD_H_
#define VANILLATILLER_SOURCE_SPREAD_SPREAD_H_

// Public header of the spread library, which holds the configuration value in
// force and decides how to obtain newer ones.

#include "spread/config_spread.h"     // IWYU pragma: export
#include "spread/config_validator.h"  // IWYU pragma: export
#include "spread/config_value.h"      // IWYU pragma: export
#include "spread/delta_codec.h"       // IWYU pragma: export
#include "spread/messages.h"          // IWYU pragma: export

#endif  // VANILLATILLER_SOURCE_SPREAD_SPREAD_H_
