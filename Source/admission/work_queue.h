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
  uint32_t order_class = 0;
  // Code of the refusal when it expires.
  RefusalCode expiry_code = RefusalCode::kDeadlineExceeded;
};

// Place of a flow among those that share its class.
struct FlowStanding {
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
  void Insert(const QueuedWork& work, const FlowStanding& standing);

  // Takes out the call that is next.
  std::optional<QueuedWork> PopFirst();
  // Takes out the call that is dispensed with first.
  std::optional<QueuedWork> PopLast();
  // Takes out a call that has expired.
  std::optional<QueuedWork> PopExpired(TimePoint now);
  std::optional<QueuedWork> Remove(WorkId id);

  bool Contains(WorkId id) const { return m_ids.contains(id); }
  // True if a call of a later class than `order_class` waits.
  bool HasLessImportant(uint32_t order_class) const;
  // Least number of queued calls that go before a new one at this place.
  uint32_t CountAhead(uint32_t order_class, FlowIndex flow,
                      uint64_t position) const;
  // Calls that wait in `order_class` and in more important classes.
  uint32_t CountUpTo(uint32_t order_class) const;
  uint32_t size() const { return static_cast<uint32_t>(m_ids.size()); }
  bool empty() const { return m_ids.empty(); }

 private:
  using Slot = uint32_t;

  struct FlowQueue {
    absl::btree_set<std::pair<uint64_t, Slot>> calls;
    FlowStanding standing;
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

  QueuedWork Take(Slot slot);
  void Activate(ClassQueue* queue, FlowIndex index);
  void Deactivate(ClassQueue* queue, FlowIndex index);
  // Share of the class that the flow is entitled to, in weights.
  double WeightOf(const ClassQueue& queue, const FlowQueue& flow) const;
  FlowIndex LongestFlow(const ClassQueue& queue) const;

  std::vector<QueuedWork> m_slots;
  std::vector<Slot> m_free;
  absl::flat_hash_map<WorkId, Slot> m_ids;
  absl::btree_set<std::pair<TimePoint, Slot>> m_by_expiry;
  std::vector<FlowQueue> m_flows;
  std::map<uint32_t, ClassQueue> m_classes;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_ADMISSION_WORK_QUEUE_H_
