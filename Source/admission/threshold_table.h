#ifndef VANILLATILLER_SOURCE_ADMISSION_THRESHOLD_TABLE_H_
#define VANILLATILLER_SOURCE_ADMISSION_THRESHOLD_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "admission/admission_threshold.h"
#include "base/base.h"

namespace vanillatiller {

// The destination that a threshold applies to.
struct ThresholdKey {
  std::string_view service;
  std::string_view method;
  std::string_view tenant;
};

// The calling side of admission thresholds: what the services answered last,
// and whether a new request is refused at the first node.
//
// Not thread-safe; callers lock around it or shard it by key.
class ThresholdTable {
 public:
  struct Settings {
    // A threshold that was not renewed for so long no longer counts.
    Duration lifetime = std::chrono::seconds(2);
    // A call that the threshold refuses goes through as a probe if none went
    // to the destination for so long.
    Duration probe_interval = std::chrono::milliseconds(200);
    // New destinations beyond this number are not remembered.
    size_t max_entries = 16384;
  };

  enum class Decision : uint8_t { kAdmit = 1, kProbe = 2, kRefuse = 3 };

  ThresholdTable() : ThresholdTable(Settings{}) {}
  explicit ThresholdTable(const Settings& settings) : m_settings(settings) {}

  // Notes the threshold that an answer carried. Answers of the servers of one
  // service are smoothed, so that the table follows their mean.
  void Update(const ThresholdKey& key, uint32_t rank,
              AdmissionThreshold threshold, TimePoint now);

  // Decides over a new request (depth 0). kRefuse means: refuse it as not run
  // with kBelowThreshold.
  Decision Check(const ThresholdKey& key, uint32_t rank, uint32_t shed_hash,
                 TimePoint now);

  // The threshold in force, to be passed on with the answer of a call that
  // depends on this destination.
  AdmissionThreshold Get(const ThresholdKey& key, uint32_t rank,
                         TimePoint now) const;

  // Forgets thresholds past their lifetime. Call it about once a second.
  void Expire(TimePoint now);

  size_t size() const { return m_entries.size(); }

 private:
  struct Entry {
    // Smoothed share of the rank's hashes that is admitted.
    double share = 1.0;
    TimePoint updated;
    TimePoint last_forwarded;
  };

  bool IsInForce(const Entry& entry, TimePoint now) const;

  Settings m_settings;
  absl::flat_hash_map<uint64_t, Entry> m_entries;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_ADMISSION_THRESHOLD_TABLE_H_
