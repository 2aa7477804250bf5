#include "admission/threshold_table.h"

#include <algorithm>

namespace vanillatiller {
namespace {

// Weight of a new response in the smoothed share.
constexpr double kShareSmoothingFactor = 0.25;
// Shares above this are treated as 1, which smoothing only approaches.
constexpr double kAdmitAllShare = 0.999;

uint64_t KeyHash(const ThresholdKey& key, uint32_t rank) {
  const uint64_t names = MixHash(HashBytes(key.service), HashBytes(key.method));
  return MixHash(MixHash(names, HashBytes(key.tenant)), rank);
}

}  // namespace

bool ThresholdTable::IsInForce(const Entry& entry, TimePoint now) const {
  return now - entry.updated < m_settings.lifetime;
}

void ThresholdTable::Update(const ThresholdKey& key, uint32_t rank,
                            AdmissionThreshold threshold, TimePoint now) {
  const uint64_t hash = KeyHash(key, rank);
  const auto found = m_entries.find(hash);
  const double share = threshold.Share(rank);
  if (found == m_entries.end()) {
    if (threshold.AdmitsAll() || m_entries.size() >= m_settings.max_entries) {
      return;
    }
    m_entries[hash] = {share, now, now};
    return;
  }
  Entry& entry = found->second;
  const bool is_current = IsInForce(entry, now);
  const double weight = is_current ? kShareSmoothingFactor : 1.0;
  entry.share += weight * (share - entry.share);
  entry.updated = std::max(entry.updated, now);
  if (entry.share > kAdmitAllShare) m_entries.erase(found);
}

ThresholdTable::Decision ThresholdTable::Check(const ThresholdKey& key,
                                               uint32_t rank,
                                               uint32_t shed_hash,
                                               TimePoint now) {
  const auto found = m_entries.find(KeyHash(key, rank));
  if (found == m_entries.end()) return Decision::kAdmit;
  Entry& entry = found->second;
  if (!IsInForce(entry, now)) return Decision::kAdmit;
  const auto threshold = AdmissionThreshold::AtShare(rank, entry.share);
  if (threshold.Admits(rank, shed_hash)) {
    entry.last_forwarded = now;
    return Decision::kAdmit;
  }
  if (now - entry.last_forwarded < m_settings.probe_interval) {
    return Decision::kRefuse;
  }
  entry.last_forwarded = now;
  return Decision::kProbe;
}

AdmissionThreshold ThresholdTable::Get(const ThresholdKey& key, uint32_t rank,
                                       TimePoint now) const {
  const auto found = m_entries.find(KeyHash(key, rank));
  if (found == m_entries.end() || !IsInForce(found->second, now)) return {};
  return AdmissionThreshold::AtShare(rank, found->second.share);
}

void ThresholdTable::Expire(TimePoint now) {
  absl::erase_if(m_entries, [this, now](const auto& item) {
    return !IsInForce(item.second, now);
  });
}

}  // namespace vanillatiller
