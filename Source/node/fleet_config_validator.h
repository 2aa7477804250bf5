#ifndef VANILLATILLER_SOURCE_NODE_FLEET_CONFIG_VALIDATOR_H_
#define VANILLATILLER_SOURCE_NODE_FLEET_CONFIG_VALIDATOR_H_

#include <optional>
#include <string>
#include <string_view>

#include "spread/spread.h"

namespace vanillatiller {

// Accepts values that pass all checks of fleetconfig. Values are held and sent
// in canonical form, so that all nodes agree on the digest.
class FleetConfigValidator final : public ConfigValidator {
 public:
  std::optional<ValidatedValue> Validate(std::string_view text,
                                         Reason* reason) const override;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_FLEET_CONFIG_VALIDATOR_H_
