#ifndef VANILLATILLER_SOURCE_SPREAD_CONFIG_VALIDATOR_H_
#define VANILLATILLER_SOURCE_SPREAD_CONFIG_VALIDATOR_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/base.h"

namespace vanillatiller {

// Result of a successful validation.
struct ValidatedValue {
  uint64_t version = 0;
  // Canonical form, identical on every node.
  std::string text;
};

// Validates a value before it is put in force.
class ConfigValidator {
 public:
  virtual ~ConfigValidator() = default;
  // Returns nullopt and sets `reason` if any part of the value is invalid. An
  // invalid value is rejected as a whole.
  virtual std::optional<ValidatedValue> Validate(std::string_view text,
                                                 Reason* reason) const = 0;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_SPREAD_CONFIG_VALIDATOR_H_
