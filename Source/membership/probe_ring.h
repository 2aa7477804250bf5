#ifndef VANILLATILLER_SOURCE_MEMBERSHIP_PROBE_RING_H_
#define VANILLATILLER_SOURCE_MEMBERSHIP_PROBE_RING_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "membership/member_table.h"

namespace vanillatiller {

// Who is next to whom among the members of one region that are not failed.
//
// Members of one failure domain are spread evenly over the ring, so that
// neighbours are in different domains and the loss of a domain leaves most
// members with a live predecessor.
class ProbeRing {
 public:
  // Orders the members of `region`; `self` need not be one of them.
  void Rebuild(const MemberTable& table, std::string_view region,
               std::string_view self);

  // Members in ring order, starting after self, without self.
  const std::vector<std::string>& others() const { return m_others; }

  // The first `count` successors.
  std::vector<std::string> Successors(size_t count) const;

  // Members at the distances 1, 2, 4, ...
  std::vector<std::string> AtDoublingDistances() const;

 private:
  std::vector<std::string> m_others;
};

// The `count` live members of `region` with the largest rendezvous weight for
// `key`, the heaviest first (Thaler and Ravishankar, "A Name-Based Mapping
// Scheme for Rendezvous", 1996). `domain` restricts the choice unless empty.
std::vector<std::string> ChooseByRendezvous(const MemberList& members,
                                            std::string_view key,
                                            std::string_view region,
                                            std::string_view domain,
                                            size_t count);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_MEMBERSHIP_PROBE_RING_H_
