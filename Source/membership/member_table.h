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
// sequence, then the graver state.
bool Supersedes(const Member& update, const Member& entry);

// All members that are known of, failed ones included, with digests that show
// where two tables differ.
class MemberTable {
 public:
  using Entries = std::map<std::string, Member, std::less<>>;
  // Parts of the table whose digests are compared separately.
  static constexpr size_t kBuckets = 64;

  const Entries& entries() const { return m_entries; }
  const Member* Find(std::string_view vm) const;

  // Adds or replaces the entry of `member.vm`.
  void Put(const Member& member);
  void Remove(std::string_view vm);

  // Digest of all entries but the failed ones, whose removal is not
  // coordinated. 0 for an empty table.
  uint64_t Digest() const;
  std::vector<uint64_t> BucketDigests() const;

  // Entries, failed ones included, of the buckets whose digests differ from
  // `digests`. At most `limit`, starting at bucket `first_bucket`. Empty if
  // `digests` has another length than kBuckets.
  MemberList EntriesOfDifferingBuckets(std::span<const uint64_t> digests,
                                       size_t limit, size_t first_bucket) const;

  // Members that are not failed, ordered by VM name.
  MemberList Routable() const;

 private:
  void ToggleInDigest(const Member& member);

  Entries m_entries;
  std::array<uint64_t, kBuckets> m_digests{};
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_MEMBERSHIP_MEMBER_TABLE_H_
