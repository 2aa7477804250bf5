#include "admission/admission_threshold.h"

#include <algorithm>

namespace vanillatiller {
namespace {

constexpr uint64_t kThresholdBit = uint64_t{1} << 63;
constexpr int kRankShift = 32;
constexpr uint32_t kMaxRank = 255;
constexpr double kHashCount = 4294967296.0;
constexpr uint64_t kUsedBits =
    kThresholdBit | (uint64_t{kMaxRank} << kRankShift) | 0xffffffffULL;

}  // namespace

AdmissionThreshold AdmissionThreshold::At(uint32_t rank, uint32_t last_hash) {
  const uint64_t capped = std::min(rank, kMaxRank);
  return AdmissionThreshold(kThresholdBit | (capped << kRankShift) | last_hash);
}

AdmissionThreshold AdmissionThreshold::AtShare(uint32_t rank, double share) {
  if (share >= 1.0) return {};
  const double last = std::max(0.0, share) * (kHashCount - 1);
  return At(rank, static_cast<uint32_t>(last));
}

AdmissionThreshold AdmissionThreshold::FromPacked(uint64_t packed) {
  const bool is_valid =
      (packed & kThresholdBit) != 0 && (packed & ~kUsedBits) == 0;
  return is_valid ? AdmissionThreshold(packed) : AdmissionThreshold();
}

uint32_t AdmissionThreshold::Rank() const {
  return static_cast<uint32_t>(m_packed >> kRankShift) & kMaxRank;
}

bool AdmissionThreshold::Admits(uint32_t rank, uint32_t shed_hash) const {
  if (AdmitsAll()) return true;
  if (rank != Rank()) return rank < Rank();
  return shed_hash <= LastHash();
}

double AdmissionThreshold::Share(uint32_t rank) const {
  if (AdmitsAll() || rank < Rank()) return 1.0;
  if (rank > Rank()) return 0.0;
  return (LastHash() + 1.0) / kHashCount;
}

AdmissionThreshold AdmissionThreshold::Stricter(AdmissionThreshold first,
                                                AdmissionThreshold second) {
  if (first.AdmitsAll()) return second;
  if (second.AdmitsAll()) return first;
  return first.m_packed < second.m_packed ? first : second;
}

}  // namespace vanillatiller
