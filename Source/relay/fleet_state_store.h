#ifndef VANILLATILLER_SOURCE_RELAY_FLEET_STATE_STORE_H_
#define VANILLATILLER_SOURCE_RELAY_FLEET_STATE_STORE_H_

#include "base/base.h"
#include "relay/relay.pb.h"

namespace vanillatiller {

// `view` holds something newer than `other`.
inline bool IsNewer(const relay::View& view, const relay::View& other) {
  return view.directory_revision() > other.directory_revision() ||
         view.config_version() > other.config_version();
}

// What this node knows of the platform's values, as nodes tell it each other.
// A node that cannot read the platform, or has just started, takes it from
// others, so that it goes on with what the fleet knows.
class FleetStateStore {
 public:
  virtual ~FleetStateStore() = default;

  // The platform cannot be read at present.
  virtual bool IsPlatformUnreachable() const = 0;
  virtual relay::View View() const = 0;
  virtual relay::Snapshot MakeSnapshot() const = 0;
  virtual void ApplySnapshot(const relay::Snapshot& snapshot,
                             TimePoint now) = 0;

  // `view` holds something newer than what this node knows.
  bool IsBehind(const relay::View& view) const { return IsNewer(view, View()); }
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_FLEET_STATE_STORE_H_
