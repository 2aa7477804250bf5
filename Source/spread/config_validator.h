#ifndef VANILLATILLER_SOURCE_SPREAD_CONFIG_VALIDATOR_H_
#define VANILLATILLER_SOURCE_SPREAD_CONFIG_VALIDATOR_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/base.h"

namespace vanillatiller {

// What a validator found a value to be.
struct ValidatedValue {
  uint64_t version = 0;
  // Canonical form, the same for every node.
  std::string text;
};

// Checks a value before it can be put in force.
class ConfigValidator {
 public:
  virtual ~ConfigValidator() = default;
  // nullopt and a reason if any part of the value is bad; a bad value is
  // refused whole.
  virtual std::optional<ValidatedValue> Validate(std::string_view text,
                                                 Reason* reason) const = 0;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_SPREAD_CONFIG_VALIDATOR_H_
