#include "node/threshold_guard.h"

namespace vanillatiller {
namespace {

ThresholdKey KeyOf(const CallContext& context) {
  return {context.service, context.method, context.tenant};
}

}  // namespace

ThresholdTable::Decision ThresholdGuard::Check(const CallContext& context,
                                               TimePoint now) {
  Shard& shard = ShardOf(context);
  const std::lock_guard lock(shard.mutex);
  return shard.table.Check(KeyOf(context), context.rank,
                           ShedHash(context.request), now);
}

void ThresholdGuard::Update(const CallContext& context, uint64_t threshold,
                            TimePoint now) {
  Shard& shard = ShardOf(context);
  const std::lock_guard lock(shard.mutex);
  shard.table.Update(KeyOf(context), context.rank,
                     AdmissionThreshold::FromPacked(threshold), now);
}

uint64_t ThresholdGuard::Get(const CallContext& context, TimePoint now) {
  Shard& shard = ShardOf(context);
  const std::lock_guard lock(shard.mutex);
  return shard.table.Get(KeyOf(context), context.rank, now).Packed();
}

void ThresholdGuard::Expire(TimePoint now) {
  for (Shard& shard : m_shards) {
    const std::lock_guard lock(shard.mutex);
    shard.table.Expire(now);
  }
}

ThresholdGuard::Shard& ThresholdGuard::ShardOf(const CallContext& context) {
  const uint64_t names =
      MixHash(HashBytes(context.method), HashBytes(context.tenant));
  return m_shards[names % kShards];
}

}  // namespace vanillatiller
