#ifndef VANILLATILLER_SOURCE_NODE_SHARDED_THRESHOLD_TABLE_H_
#define VANILLATILLER_SOURCE_NODE_SHARDED_THRESHOLD_TABLE_H_

#include <array>
#include <mutex>

#include "admission/admission.h"
#include "base/base.h"

namespace vanillatiller {

// ThresholdTable for many threads: keys are spread over several tables, each
// with a lock of its own.
class ShardedThresholdTable {
 public:
  // Decides over a new request.
  ThresholdTable::Decision Check(const CallContext& context, TimePoint now);

  // Notes the threshold that came back with an answer, in packed form.
  void Update(const CallContext& context, uint64_t threshold, TimePoint now);

  // The threshold in force, in packed form.
  uint64_t Get(const CallContext& context, TimePoint now);

  // Forgets thresholds that were not renewed.
  void Expire(TimePoint now);

 private:
  static constexpr size_t kShards = 16;

  struct Shard {
    std::mutex mutex;
    ThresholdTable table;
  };

  Shard& ShardOf(const CallContext& context);

  std::array<Shard, kShards> m_shards;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_SHARDED_THRESHOLD_TABLE_H_
