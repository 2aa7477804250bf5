#include "base/reason.h"

#include <array>
#include <cstddef>

namespace vanillatiller {
namespace {

constexpr auto kRefusalNames = std::to_array<std::string_view>({
    "none",
    "bad-request",
    "unknown-service",
    "unknown-method",
    "too-large",
    "deadline-exceeded",
    "overload",
    "below-threshold",
    "leaving",
    "no-peer",
    "ticket-required",
    "ticket-invalid",
    "ticket-expired",
    "attempts-exhausted",
    "depth-exceeded",
    "backend-unreachable",
    "connection-lost",
    "unknown-incarnation",
    "not-idempotent",
    "cancelled",
    "no-configuration",
    "incomplete-answer",
    "link-budget",
    "duplicate-call",
    "backend-refused",
    "fenced",
    "rate-limited",
    "no-memory",
});
static_assert(kRefusalNames.size() ==
              static_cast<size_t>(kLastRefusalCode) + 1);

}  // namespace

std::string_view RefusalCodeName(RefusalCode code) {
  const auto index = static_cast<size_t>(code);
  if (index >= kRefusalNames.size()) return "unknown";
  return kRefusalNames[index];
}

std::string_view OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kComplete:
      return "complete";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      break;
  }
  return "unknown";
}

}  // namespace vanillatiller
