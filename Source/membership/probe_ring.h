#ifndef VANILLATILLER_SOURCE_MEMBERSHIP_PROBE_RING_H_
#define VANILLATILLER_SOURCE_MEMBERSHIP_PROBE_RING_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "membership/member_table.h"

namespace vanillatiller {

// Ring of the members of one region that are not failed; each node probes its
// successors.
//
// The members of each failure domain are placed evenly around the ring, so that
// adjacent members are in different domains. When a domain fails, most of its
// members still have a live predecessor that probes them.
class ProbeRing {
 public:
  // Rebuilds the ring from the members of `region`, which need not include
  // `self`.
  void Rebuild(const MemberTable& table, std::string_view region,
               std::string_view self);

  // All members except self, in ring order from the first successor of self.
  const std::vector<std::string>& others() const { return m_others; }

  // Returns the first `count` successors.
  std::vector<std::string> Successors(size_t count) const;

  // Returns the successors at ring distances 1, 2, 4, ...
  std::vector<std::string> AtDoublingDistances() const;

 private:
  std::vector<std::string> m_others;
};

// Returns the `count` live members of `region` with the highest rendezvous
// weight for `key`, highest first (Thaler and Ravishankar, "A Name-Based
// Mapping Scheme for Rendezvous", 1996). A non-empty `domain` restricts the
// choice to that failure domain.
std::vector<std::string> ChooseByRendezvous(const MemberList& members,
                                            std::string_view key,
                                            std::string_view region,
                                            std::string_view domain,
                                            size_t count);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_MEMBERSHIP_PROBE_RING_H_
