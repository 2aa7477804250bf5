#include "node/sharded_threshold_table.h"

namespace vanillatiller {
namespace {

ThresholdKey KeyOf(const CallContext& context) {
  return {context.service, context.method, context.tenant};
}

}  // namespace

ThresholdTable::Decision ShardedThresholdTable::Check(
    const CallContext& context, TimePoint now) {
  Shard& shard = ShardOf(context);
  const std::lock_guard lock(shard.mutex);
  return shard.table.Check(KeyOf(context), context.rank,
                           ShedHash(context.request), now);
}

void ShardedThresholdTable::Update(const CallContext& context,
                                   uint64_t threshold, TimePoint now) {
  Shard& shard = ShardOf(context);
  const std::lock_guard lock(shard.mutex);
  shard.table.Update(KeyOf(context), context.rank,
                     AdmissionThreshold::FromPacked(threshold), now);
}

uint64_t ShardedThresholdTable::Get(const CallContext& context, TimePoint now) {
  Shard& shard = ShardOf(context);
  const std::lock_guard lock(shard.mutex);
  return shard.table.Get(KeyOf(context), context.rank, now).Packed();
}

void ShardedThresholdTable::Expire(TimePoint now) {
  for (Shard& shard : m_shards) {
    const std::lock_guard lock(shard.mutex);
    shard.table.Expire(now);
  }
}

ShardedThresholdTable::Shard& ShardedThresholdTable::ShardOf(
    const CallContext& context) {
  const uint64_t names =
      MixHash(HashBytes(context.method), HashBytes(context.tenant));
  return m_shards[names % kShards];
}

}  // namespace vanillatiller
