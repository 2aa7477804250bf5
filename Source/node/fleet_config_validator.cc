#include "node/fleet_config_validator.h"

#include "fleetconfig/fleetconfig.h"

namespace vanillatiller {

std::optional<ValidatedValue> FleetConfigValidator::Validate(
    std::string_view text, Reason* reason) const {
  Findings findings;
  const auto config = LoadFleetConfig(text, "configuration", &findings);
  if (!config) {
    *reason = {RefusalCode::kBadRequest, FormatFindings(findings)};
    return std::nullopt;
  }
  return ValidatedValue{config->version, FormatFleetConfig(*config)};
}

}  // namespace vanillatiller
