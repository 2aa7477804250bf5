#ifndef VANILLATILLER_SOURCE_TOML_TOML_H_
#define VANILLATILLER_SOURCE_TOML_TOML_H_

// Public header of the toml library: reads TOML tables and reports all errors
// with their source locations.

#include "toml/reader.h"  // IWYU pragma: export

#endif  // VANILLATILLER_SOURCE_TOML_TOML_H_
