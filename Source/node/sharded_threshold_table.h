#ifndef VANILLATILLER_SOURCE_NODE_SHARDED_THRESHOLD_TABLE_H_
#define VANILLATILLER_SOURCE_NODE_SHARDED_THRESHOLD_TABLE_H_

#include <array>
#include <mutex>

#include "admission/admission.h"
#include "base/base.h"

namespace vanillatiller {

// Thread-safe ThresholdTable: keys are distributed over several shards, each
// with its own lock.
class ShardedThresholdTable {
 public:
  // Returns whether to refuse a new request.
  ThresholdTable::Decision Check(const CallContext& context, TimePoint now);

  // Stores the threshold received with an answer, in packed form.
  void Update(const CallContext& context, uint64_t threshold, TimePoint now);

  // Returns the current threshold, in packed form.
  uint64_t Get(const CallContext& context, TimePoint now);

  // Removes thresholds that were not refreshed.
  void Expire(TimePoint now);

 private:
  static constexpr size_t kShards = 16;

  struct Shard {
    std::mutex mutex;
    ThresholdTable table;
  };

  Shard& FindShard(const CallContext& context);

  std::array<Shard, kShards> m_shards;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_SHARDED_THRESHOLD_TABLE_H_
