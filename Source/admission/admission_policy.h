#ifndef VANILLATILLER_SOURCE_ADMISSION_ADMISSION_POLICY_H_
#define VANILLATILLER_SOURCE_ADMISSION_ADMISSION_POLICY_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace vanillatiller {

enum class AdmissionPolicy : uint8_t {
  // Adaptive limit, ranked queue and thresholds.
  kAdaptive = 1,
  // The declared slots and a first-come queue without ranks; a baseline.
  kFixed = 2,
  // No limit; a baseline.
  kNone = 3,
  // The declared slots, or a few less if that serves more, for backend servers
  // that state them truthfully, and a ranked queue. No thresholds: what cannot
  // be served in time is refused one by one.
  kRanked = 4,
};

// "adaptive", "fixed", "none" or "ranked"; nullopt for anything else.
std::optional<AdmissionPolicy> ParseAdmissionPolicy(std::string_view name);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_ADMISSION_ADMISSION_POLICY_H_
