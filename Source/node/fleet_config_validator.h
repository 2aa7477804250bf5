#ifndef VANILLATILLER_SOURCE_NODE_FLEET_CONFIG_VALIDATOR_H_
#define VANILLATILLER_SOURCE_NODE_FLEET_CONFIG_VALIDATOR_H_

#include <optional>
#include <string>
#include <string_view>

#include "spread/spread.h"

namespace vanillatiller {

// Accepts what ParseFleetConfig accepts, with a version above 0.
class FleetConfigValidator final : public ConfigValidator {
 public:
  std::optional<ValidatedValue> Validate(std::string_view text,
                                         Reason* reason) const override;
};

// Sends full values only, until a codec for release notes is passed in.
class FullValueCodec final : public DeltaCodec {
 public:
  std::optional<std::string> Diff(std::string_view /*base*/,
                                  std::string_view /*value*/) const override {
    return std::nullopt;
  }
  std::optional<std::string> Apply(std::string_view /*base*/,
                                   std::string_view /*delta*/) const override {
    return std::nullopt;
  }
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_FLEET_CONFIG_VALIDATOR_H_
