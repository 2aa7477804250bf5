#ifndef VANILLATILLER_SOURCE_ADMISSION_WORK_QUEUE_H_
#define VANILLATILLER_SOURCE_ADMISSION_WORK_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "admission/flow_table.h"
#include "admission/work.h"
#include "base/base.h"

namespace vanillatiller {

// A call that waits for a slot.
struct QueuedWork {
  WorkId id = 0;
  // Order within the flow; the lowest goes first, the highest is evicted first.
  uint64_t position = 0;
  TimePoint offered;
  // Time after which it is refused.
  TimePoint expires;
  FlowIndex flow = 0;
  // Twice the rank, plus 1 for new requests.
  uint32_t priority_class = 0;
  // Code of the refusal when it expires.
  RefusalCode expiry_code = RefusalCode::kDeadlineExceeded;
};

// Place of a flow among those that share its class.
struct FlowParameters {
  uint32_t tenant = 0;
  double weight = 1;
  // Slot time of one call, in seconds.
  double cost = 0;
};

// Priority queue of waiting calls: by class, then fairly between tenants and
// methods, then by position.
//
// Flows take turns by virtual time, which advances with the slot time they get
// (start-time fair queueing: Goyal, Vin and Cheng, 1996). Eviction takes from
// the least important class and there from the flow with the longest queue for
// its weight.
class WorkQueue {
 public:
  void Insert(const QueuedWork& work, const FlowParameters& parameters);

  // Takes out the call that is next.
  std::optional<QueuedWork> PopFirst();
  // Takes out the call that is dispensed with first.
  std::optional<QueuedWork> PopLast();
  // Takes out a call that has expired.
  std::optional<QueuedWork> PopExpired(TimePoint now);
  std::optional<QueuedWork> Remove(WorkId id);

  bool Contains(WorkId id) const { return m_entry_by_id.contains(id); }
  // True if a call of a later class than `order_class` waits.
  bool HasLowerPriority(uint32_t priority_class) const;
  // Least number of queued calls that go before a new one at this place.
  uint32_t CountAhead(uint32_t priority_class, FlowIndex flow,
                      uint64_t position) const;
  // Calls that wait in `order_class` and in more important classes.
  uint32_t CountAtOrAbovePriority(uint32_t priority_class) const;
  uint32_t size() const { return static_cast<uint32_t>(m_entry_by_id.size()); }
  bool empty() const { return m_entry_by_id.empty(); }

 private:
  using EntryIndex = uint32_t;

  struct FlowQueue {
    absl::btree_set<std::pair<uint64_t, EntryIndex>> calls;
    FlowParameters parameters;
    double virtual_time = 0;
  };

  struct ClassQueue {
    // Flows with calls, by virtual time.
    absl::btree_set<std::pair<double, FlowIndex>> active;
    // Flows with calls, for each tenant.
    absl::flat_hash_map<uint32_t, uint32_t> active_of_tenant;
    double virtual_time = 0;
    uint32_t size = 0;
  };

  QueuedWork RemoveEntry(EntryIndex entry);
  void Activate(ClassQueue* queue, FlowIndex index);
  void Deactivate(ClassQueue* queue, FlowIndex index);
  // Share of the class that the flow is entitled to, in weights.
  double WeightOf(const ClassQueue& queue, const FlowQueue& flow) const;
  FlowIndex LongestWeightedFlow(const ClassQueue& queue) const;

  std::vector<QueuedWork> m_entries;
  std::vector<EntryIndex> m_free_entries;
  absl::flat_hash_map<WorkId, EntryIndex> m_entry_by_id;
  absl::btree_set<std::pair<TimePoint, EntryIndex>> m_by_expiry;
  std::vector<FlowQueue> m_flows;
  std::map<uint32_t, ClassQueue> m_classes;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_ADMISSION_WORK_QUEUE_H_
