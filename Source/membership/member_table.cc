#include "membership/member_table.h"

#include <tuple>

#include "base/base.h"

namespace vanillatiller {
namespace {

size_t BucketOf(std::string_view vm) {
  return HashBytes(vm) % MemberTable::kBuckets;
}

}  // namespace

bool Supersedes(const Member& update, const Member& entry) {
  return std::tie(update.incarnation, update.sequence, update.state) >
         std::tie(entry.incarnation, entry.sequence, entry.state);
}

const Member* MemberTable::Find(std::string_view vm) const {
  const auto found = m_entries.find(vm);
  if (found == m_entries.end()) return nullptr;
  return &found->second;
}

void MemberTable::Put(const Member& member) {
  Remove(member.vm);
  m_entries.emplace(member.vm, member);
  ToggleInDigest(member);
}

void MemberTable::Remove(std::string_view vm) {
  const auto found = m_entries.find(vm);
  if (found == m_entries.end()) return;
  ToggleInDigest(found->second);
  m_entries.erase(found);
}

uint64_t MemberTable::Digest() const {
  uint64_t digest = 0;
  for (const uint64_t bucket : m_digests) digest ^= bucket;
  return digest;
}

std::vector<uint64_t> MemberTable::BucketDigests() const {
  return {m_digests.begin(), m_digests.end()};
}

MemberList MemberTable::EntriesOfDifferingBuckets(
    std::span<const uint64_t> digests, size_t limit,
    size_t first_bucket) const {
  MemberList result;
  if (digests.size() != kBuckets) return result;
  std::array<MemberList, kBuckets> buckets;
  for (const auto& [vm, member] : m_entries) {
    const size_t bucket = BucketOf(vm);
    if (digests[bucket] != m_digests[bucket]) buckets[bucket].push_back(member);
  }
  for (size_t i = 0; i < kBuckets; ++i) {
    for (const Member& member : buckets[(first_bucket + i) % kBuckets]) {
      if (result.size() == limit) return result;
      result.push_back(member);
    }
  }
  return result;
}

MemberList MemberTable::Routable() const {
  MemberList members;
  members.reserve(m_entries.size());
  for (const auto& [vm, member] : m_entries) {
    if (member.state != MemberState::kFailed) members.push_back(member);
  }
  return members;
}

// XORs the hash of the entry into its bucket's digest, which adds an absent
// entry and removes a present one. Failed entries are not part of the digest.
void MemberTable::ToggleInDigest(const Member& member) {
  if (member.state == MemberState::kFailed) return;
  const uint64_t name = HashBytes(member.vm);
  const uint64_t version = MixHash(member.incarnation, member.sequence);
  const uint64_t state = static_cast<uint64_t>(member.state);
  m_digests[name % kBuckets] ^= MixHash(MixHash(name, version), state);
}

}  // namespace vanillatiller
