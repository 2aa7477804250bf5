#include "node/sharded_threshold_table.h"

namespace vanillatiller {
namespace {

ThresholdKey MakeKey(const CallContext& context) {
  return {context.service, context.method, context.tenant};
}

}  // namespace

ThresholdTable::Decision ShardedThresholdTable::Check(
    const CallContext& context, TimePoint now) {
  Shard& shard = FindShard(context);
  const std::lock_guard lock(shard.mutex);
  return shard.table.Check(MakeKey(context), context.rank,
                           ShedHash(context.request), now);
}

void ShardedThresholdTable::Update(const CallContext& context,
                                   uint64_t threshold, TimePoint now) {
  Shard& shard = FindShard(context);
  const std::lock_guard lock(shard.mutex);
  shard.table.Update(MakeKey(context), context.rank,
                     AdmissionThreshold::FromPacked(threshold), now);
}

uint64_t ShardedThresholdTable::Get(const CallContext& context, TimePoint now) {
  Shard& shard = FindShard(context);
  const std::lock_guard lock(shard.mutex);
  return shard.table.Get(MakeKey(context), context.rank, now).Packed();
}

void ShardedThresholdTable::Expire(TimePoint now) {
  for (Shard& shard : m_shards) {
    const std::lock_guard lock(shard.mutex);
    shard.table.Expire(now);
  }
}

ShardedThresholdTable::Shard& ShardedThresholdTable::FindShard(
    const CallContext& context) {
  const uint64_t hash =
      MixHash(HashBytes(context.method), HashBytes(context.tenant));
  return m_shards[hash % kShards];
}

}  // namespace vanillatiller
