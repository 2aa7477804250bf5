#ifndef VANILLATILLER_SOURCE_RELAY_FLEET_STATE_STORE_H_
#define VANILLATILLER_SOURCE_RELAY_FLEET_STATE_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "relay/state_revision.h"

namespace vanillatiller {

// Returns true if `view` has a newer directory or configuration than `other`.
inline bool IsNewer(const relay::View& view, const relay::View& other) {
  return DirectoryOf(view) > DirectoryOf(other) ||
         view.config_version() > other.config_version();
}

struct ChangedItem {
  std::string key;
  StateRevision revision;
  bool removed = false;
};

// Changes that brought a state of revision `from` to revision `to`. In a later
// era than that of `from`, they hold all that is known.
struct FleetStateChanges {
  StateRevision from;
  StateRevision to;
  std::vector<ChangedItem> items;
};

// How a node learns of changes.
enum class ReadMode : uint8_t {
  // Other nodes report them; the platform is not asked.
  kFromPeers = 1,
  // Watches the platform, also on behalf of other nodes.
  kReader = 2,
  // Watches the platform because no reader does. Asks less often while the
  // platform fails, as the readers ask it too.
  kBackup = 3,
};

// Fleet state read from the platform, as exchanged between nodes. A node that
// cannot read the platform, or has just started, obtains a snapshot from a peer
// so that it keeps working with the latest known state.
class FleetStateStore {
 public:
  // Called when changes have been applied, whatever their source, and without
  // changes when ConfirmedAt() has advanced.
  using Listener =
      std::function<void(const FleetStateChanges& changes, TimePoint now)>;

  virtual ~FleetStateStore() = default;

  // Returns true while the platform cannot be read.
  virtual bool IsPlatformUnreachable() const = 0;
  // All changes up to the revision of the view have been applied.
  virtual relay::View View() const = 0;
  virtual relay::Snapshot MakeSnapshot() const = 0;
  virtual void ApplySnapshot(const relay::Snapshot& snapshot,
                             TimePoint now) = 0;

  virtual void SetListener(Listener listener) { (void)listener; }
  virtual void SetReadMode(ReadMode mode, TimePoint now) {
    (void)mode;
    (void)now;
  }
  // Time up to which the platform has confirmed, to this node or to one that
  // reported it, that all changes are known here. A watch that is pending
  // confirms nothing: the platform may have stopped answering.
  virtual TimePoint ConfirmedAt() const { return {}; }
  // Asks the platform whether changes are missing here, unless it is being
  // asked already.
  virtual void Confirm(TimePoint now) { (void)now; }
  // Applies the changes of a feed that begins at or before the revision of this
  // node, in the same era.
  virtual void ApplyFeed(const relay::Feed& feed, TimePoint now) {
    (void)feed;
    (void)now;
  }
  // The current value of a key; nullopt if there is none.
  virtual std::optional<relay::Item> FindItem(const std::string& key) const {
    (void)key;
    return std::nullopt;
  }
  // Another node has reported what the platform has confirmed.
  virtual void OnConfirmed(TimePoint confirmed_at, TimePoint now) {
    (void)confirmed_at;
    (void)now;
  }

  // Time for which records that are missing after an outage of the platform
  // still count.
  virtual Duration RenewalLeft(TimePoint now) const {
    (void)now;
    return {};
  }
  virtual void ExtendRenewal(Duration left, TimePoint now) {
    (void)left;
    (void)now;
  }

  // Returns true if `view` is newer than the state of this node.
  bool IsBehind(const relay::View& view) const { return IsNewer(view, View()); }
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_FLEET_STATE_STORE_H_
