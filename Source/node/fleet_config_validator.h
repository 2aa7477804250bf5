#ifndef VANILLATILLER_SOURCE_NODE_FLEET_CONFIG_VALIDATOR_H_
#define VANILLATILLER_SOURCE_NODE_FLEET_CONFIG_VALIDATOR_H_

#include <optional>
#include <string>
#include <string_view>

#include "spread/spread.h"

namespace vanillatiller {

// Accepts values that pass all checks of fleetconfig and converts them to
// canonical form, so that all nodes compute the same digest.
class FleetConfigValidator final : public ConfigValidator {
 public:
  std::optional<ValidatedValue> Validate(std::string_view text,
                                         Reason* reason) const override;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_FLEET_CONFIG_VALIDATOR_H_
