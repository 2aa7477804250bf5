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

// Caller-side table of admission thresholds. Keeps the thresholds that services
// last reported and decides whether the entry node refuses a new request.
//
// Not thread-safe; callers must lock it or shard it by key.
class ThresholdTable {
 public:
  struct Settings {
    // Time after which a threshold expires unless it is updated.
    Duration lifetime = std::chrono::seconds(2);
    // A call that the threshold would refuse is admitted as a probe if no call
    // was sent to the destination for this long.
    Duration probe_interval = std::chrono::milliseconds(200);
    // Maximum number of entries; further destinations are not stored.
    size_t max_entries = 16384;
  };

  enum class Decision : uint8_t { kAdmit = 1, kProbe = 2, kRefuse = 3 };

  ThresholdTable() : ThresholdTable(Settings{}) {}
  explicit ThresholdTable(const Settings& settings) : m_settings(settings) {}

  // Stores the threshold from a response. Thresholds are smoothed, so that the
  // table follows the mean over the servers of a service.
  void Update(const ThresholdKey& key, uint32_t rank,
              AdmissionThreshold threshold, TimePoint now);

  // Decides whether to send a new request (depth 0). On kRefuse, the caller
  // must refuse it as not run with kBelowThreshold.
  Decision Check(const ThresholdKey& key, uint32_t rank, uint32_t shed_hash,
                 TimePoint now);

  // Returns the unexpired threshold, which is propagated in the response to a
  // call that depends on this destination.
  AdmissionThreshold Get(const ThresholdKey& key, uint32_t rank,
                         TimePoint now) const;

  // Removes expired thresholds. Must be called about once per second.
  void Expire(TimePoint now);

  size_t size() const { return m_entries.size(); }

 private:
  struct Entry {
    // Smoothed admitted fraction of the rank's hashes.
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
