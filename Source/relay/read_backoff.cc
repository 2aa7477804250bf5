#include "relay/read_backoff.h"

#include <algorithm>

namespace vanillatiller {

Duration ReadBackoff::OnFailure(ReadMode mode, bool is_refusal, TimePoint sent,
                                TimePoint now) {
  const uint32_t failures_before = m_failures++;
  if (mode == ReadMode::kBackup && (is_refusal || failures_before > 0)) {
    return std::max(kInitialDelay, sent + kBackupPeriod - now);
  }
  return std::min(kMaxDelay,
                  kInitialDelay * (1U << std::min(failures_before, 4U)));
}

}  // namespace vanillatiller
