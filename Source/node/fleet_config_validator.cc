#include "node/fleet_config_validator.h"

#include "fleetconfig/fleetconfig.h"

namespace vanillatiller {

std::optional<ValidatedValue> FleetConfigValidator::Validate(
    std::string_view text, Reason* reason) const {
  Findings findings;
  const auto config = ParseFleetConfig(text, "configuration", &findings);
  if (config) findings = CheckFleetConfig(*config, "configuration", nullptr);
  if (!config || !findings.empty()) {
    *reason = {RefusalCode::kBadRequest, FormatFindings(findings)};
    return std::nullopt;
  }
  if (config->version == 0) {
    *reason = {RefusalCode::kBadRequest, "the version is 0"};
    return std::nullopt;
  }
  return ValidatedValue{config->version, FormatFleetConfig(*config)};
}

}  // namespace vanillatiller
