// Fuzz target for the fleet configuration parser.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "fleetconfig/fleetconfig.h"

namespace {

void Require(bool condition) {
  if (!condition) std::abort();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  vanillatiller::Findings findings;
  const auto config = vanillatiller::ParseFleetConfig(text, "value", &findings);
  // The parser returns either a configuration or findings.
  Require(config.has_value() == findings.empty());
  for (const vanillatiller::Finding& finding : findings) {
    Require(!finding.text.empty());
  }
  return 0;
}
