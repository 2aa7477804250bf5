// Fuzz target for the conversion of call contexts received from other nodes.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <optional>

#include "wire/wire.h"

namespace {

using vanillatiller::CallContext;
using vanillatiller::Reason;
using vanillatiller::RefusalCode;
using vanillatiller::TimePoint;

constexpr TimePoint kNow{std::chrono::seconds(1000)};

void Require(bool condition) {
  if (!condition) std::abort();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  vanillatiller::v1::CallContext message;
  if (!message.ParseFromArray(data, static_cast<int>(size))) return 0;
  Reason reason;
  const auto context = vanillatiller::FromWire(message, kNow, &reason);
  if (!context) {
    Require(reason.code != RefusalCode::kNone && !reason.text.empty());
    return 0;
  }
  Require(!context->service.empty() && !context->method.empty());
  Require(context->deadline >= kNow);
  vanillatiller::v1::CallContext copy;
  vanillatiller::ToWire(*context, kNow, &copy);
  const auto again = vanillatiller::FromWire(copy, kNow, &reason);
  Require(again.has_value());
  Require(again->call == context->call && again->rank == context->rank);
  Require(again->deadline == context->deadline);
  return 0;
}
