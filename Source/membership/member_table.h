#ifndef VANILLATILLER_SOURCE_MEMBERSHIP_MEMBER_TABLE_H_
#define VANILLATILLER_SOURCE_MEMBERSHIP_MEMBER_TABLE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "membership/member.h"

namespace vanillatiller {

// True if `update` is newer than `entry`: a higher incarnation, then a higher
// sequence, then the higher MemberState value.
bool Supersedes(const Member& update, const Member& entry);

// All known members, including failed ones, with per-bucket digests that show
// where two tables differ.
class MemberTable {
 public:
  using Entries = std::map<std::string, Member, std::less<>>;
  // Number of partitions of the table whose digests are compared separately.
  static constexpr size_t kBuckets = 64;

  const Entries& entries() const { return m_entries; }
  const Member* Find(std::string_view vm) const;

  // Adds or replaces the entry of `member.vm`.
  void Put(const Member& member);
  void Remove(std::string_view vm);

  // Digest of all entries except failed ones, which are excluded because nodes
  // remove them at different times. 0 for an empty table.
  uint64_t Digest() const;
  std::vector<uint64_t> BucketDigests() const;

  // Returns up to `limit` entries, including failed ones, of the buckets whose
  // digests differ from `digests`, starting at bucket `first_bucket`. Returns
  // nothing unless `digests` has kBuckets elements.
  MemberList EntriesOfDifferingBuckets(std::span<const uint64_t> digests,
                                       size_t limit, size_t first_bucket) const;

  // Returns the members that are not failed, ordered by VM name.
  MemberList Routable() const;

 private:
  void ToggleInDigest(const Member& member);

  Entries m_entries;
  std::array<uint64_t, kBuckets> m_digests{};
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_MEMBERSHIP_MEMBER_TABLE_H_
