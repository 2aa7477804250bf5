// Fuzz target for values of the platform's store: lists, configurations and
// entries of servers, which other writers may have left.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "platform/json_fields.h"
#include "platform/store_values.h"

namespace {

void Require(bool condition) {
  if (!condition) std::abort();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  namespace platform = vanillatiller::platform;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  std::string reason;
  const auto server = platform::DecodeServer(
      {"servers/id", std::string(text), 1, false}, &reason);
  if (server) {
    Require(server->slots >= platform::fields::kSlots.min &&
            server->slots <= platform::fields::kSlots.max);
    Require(server->started_ms <= platform::fields::kStartedMs.max);
    Require(server->address.port != 0);
  }
  const auto config = platform::DecodeConfig(text, &reason);
  if (config) {
    Require(config->version >= platform::fields::kConfigVersion.min &&
            config->version <= platform::fields::kConfigVersion.max);
    for (const auto& route : config->routes) {
      Require(route.timeout >= vanillatiller::Duration::zero());
      Require(route.max_attempts >= 1);
    }
  }
  const auto items = platform::DecodeItems(text, 0, &reason);
  if (items) {
    Require(items->revision.revision <= platform::fields::kStoreRevision.max);
  }
  platform::DecodeItem(text, 0, &reason);
  return 0;
}
