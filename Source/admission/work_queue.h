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
  // Order within the flow: lowest is dispatched first, highest evicted first.
  uint64_t position = 0;
  TimePoint offered;
  // Time after which the call is refused.
  TimePoint expires;
  FlowIndex flow = 0;
  // Twice the rank, plus 1 for new requests.
  uint32_t priority_class = 0;
  // Refusal code on expiry.
  RefusalCode expiry_code = RefusalCode::kDeadlineExceeded;
};

// Scheduling parameters of a flow within its priority class.
struct FlowParameters {
  uint32_t tenant = 0;
  double weight = 1;
  // Mean slot occupancy of one call, in seconds.
  double cost = 0;
};

// Queue of waiting calls, ordered by priority class, by weighted fair queueing
// between tenants and methods, and by position within a flow.
//
// Flows are scheduled by virtual time, which advances with the slot time that
// they use (start-time fair queueing: Goyal, Vin and Cheng, 1996). Calls are
// evicted from the lowest priority class, and within it from the flow with the
// longest queue relative to its weight.
class WorkQueue {
 public:
  void Insert(const QueuedWork& work, const FlowParameters& parameters);

  // Removes the call to dispatch next.
  std::optional<QueuedWork> PopFirst();
  // Removes the call to evict first.
  std::optional<QueuedWork> PopLast();
  // Removes a call that has expired, if any.
  std::optional<QueuedWork> PopExpired(TimePoint now);
  std::optional<QueuedWork> Remove(WorkId id);

  bool Contains(WorkId id) const { return m_entry_by_id.contains(id); }
  // Returns whether a call of lower priority than `priority_class` is queued.
  bool HasLowerPriority(uint32_t priority_class) const;
  // Returns a lower bound on the queued calls that precede a new call at this
  // position.
  uint32_t CountAhead(uint32_t priority_class, FlowIndex flow,
                      uint64_t position) const;
  // Number of queued calls in `priority_class` and all higher-priority classes.
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
    // Flows with queued calls, by virtual time.
    absl::btree_set<std::pair<double, FlowIndex>> active;
    // Number of flows with queued calls, by tenant.
    absl::flat_hash_map<uint32_t, uint32_t> active_of_tenant;
    double virtual_time = 0;
    uint32_t size = 0;
  };

  QueuedWork RemoveEntry(EntryIndex entry);
  void Activate(ClassQueue* queue, FlowIndex index);
  void Deactivate(ClassQueue* queue, FlowIndex index);
  // Weight of the flow: the tenant's weight divided by its active flows.
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
