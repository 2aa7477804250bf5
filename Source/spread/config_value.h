#ifndef VANILLATILLER_SOURCE_SPREAD_CONFIG_VALUE_H_
#define VANILLATILLER_SOURCE_SPREAD_CONFIG_VALUE_H_

#include <cstdint>
#include <string>

#include "base/base.h"

namespace vanillatiller {

// Identifies a configuration value. Version 0 means that there is no value.
struct ConfigStamp {
  uint64_t version = 0;
  Sha256Digest digest{};

  bool operator==(const ConfigStamp&) const = default;
};

// A validated value in canonical form.
struct ConfigValue {
  ConfigStamp stamp;
  std::string text;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_SPREAD_CONFIG_VALUE_H_
