#ifndef VANILLATILLER_SOURCE_RELAY_STATE_REVISION_H_
#define VANILLATILLER_SOURCE_RELAY_STATE_REVISION_H_

#include <compare>
#include <cstdint>
#include <string>

#include "relay/relay.pb.h"

namespace vanillatiller {

// Orders the states of the platform's store, and what is known of them: lists,
// watches, reports of other nodes, tombstones and confirmations.
//
// The store counts its changes. When it comes back from a copy of an earlier
// state, it begins a new era and gives out the revisions after that state
// again. Each state of a later era is newer than any of an earlier one, but
// need not include what was acknowledged in the earlier one.
struct StateRevision {
  uint64_t era = 0;
  uint64_t revision = 0;

  auto operator<=>(const StateRevision&) const = default;
  // Whether no state is known.
  bool IsZero() const { return revision == 0; }
  std::string ToString() const {
    return std::to_string(era) + "." + std::to_string(revision);
  }
};

// The state of the directory that a view names.
inline StateRevision DirectoryOf(const relay::View& view) {
  return {view.directory_era(), view.directory_revision()};
}
inline void SetDirectory(const StateRevision& state, relay::View* view) {
  view->set_directory_era(state.era);
  view->set_directory_revision(state.revision);
}

// The change that last set an item.
inline StateRevision RevisionOf(const relay::Item& item) {
  return {item.era(), item.revision()};
}
inline void SetRevision(const StateRevision& revision, relay::Item* item) {
  item->set_era(revision.era);
  item->set_revision(revision.revision);
}

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_STATE_REVISION_H_
