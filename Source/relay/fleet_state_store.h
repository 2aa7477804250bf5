#ifndef VANILLATILLER_SOURCE_RELAY_FLEET_STATE_STORE_H_
#define VANILLATILLER_SOURCE_RELAY_FLEET_STATE_STORE_H_

#include "base/base.h"
#include "relay/relay.pb.h"

namespace vanillatiller {

// Returns true if `view` has a newer directory or configuration than `other`.
inline bool IsNewer(const relay::View& view, const relay::View& other) {
  return view.directory_revision() > other.directory_revision() ||
         view.config_version() > other.config_version();
}

// Fleet state read from the platform, as exchanged between nodes. A node that
// cannot read the platform, or has just started, obtains a snapshot from a peer
// so that it keeps working with the latest known state.
class FleetStateStore {
 public:
  virtual ~FleetStateStore() = default;

  // Returns true while the platform cannot be read.
  virtual bool IsPlatformUnreachable() const = 0;
  virtual relay::View View() const = 0;
  virtual relay::Snapshot MakeSnapshot() const = 0;
  virtual void ApplySnapshot(const relay::Snapshot& snapshot,
                             TimePoint now) = 0;

  // Returns true if `view` is newer than the state of this node.
  bool IsBehind(const relay::View& view) const { return IsNewer(view, View()); }
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_FLEET_STATE_STORE_H_
