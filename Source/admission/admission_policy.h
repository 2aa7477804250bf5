#ifndef VANILLATILLER_SOURCE_ADMISSION_ADMISSION_POLICY_H_
#define VANILLATILLER_SOURCE_ADMISSION_ADMISSION_POLICY_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace vanillatiller {

enum class AdmissionPolicy : uint8_t {
  // Adaptive concurrency limit, priority queue and admission thresholds.
  kAdaptive = 1,
  // Baseline: the declared slots and a FIFO queue that ignores ranks.
  kFixed = 2,
  // Baseline: no limit.
  kNone = 3,
  // For backend servers that declare their slots accurately: a priority queue
  // and the declared slots, or slightly fewer if that increases throughput. No
  // thresholds: calls that cannot meet their deadline are refused individually.
  kRanked = 4,
};

// "adaptive", "fixed", "none" or "ranked"; nullopt for anything else.
std::optional<AdmissionPolicy> ParseAdmissionPolicy(std::string_view name);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_ADMISSION_ADMISSION_POLICY_H_
