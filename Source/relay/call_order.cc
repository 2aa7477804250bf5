#include "relay/call_order.h"

#include <algorithm>

#include "relay/call_result.h"

namespace vanillatiller {
namespace {

// Least important rank used for calls of requests in progress: one below the
// most important rank.
constexpr uint32_t kContinuationRank = 1;

}  // namespace

Work MakeWork(const relay::Call& call, WorkId id, TimePoint now) {
  Work work;
  work.id = id;
  work.rank = call.rank();
  work.shed_hash = call.shed_hash();
  if (call.is_continuation()) {
    work.rank = std::min(work.rank, kContinuationRank);
    work.shed_hash = 0;
  }
  work.is_nested = call.is_nested();
  work.deadline = now + TimeLeft(call);
  work.method = call.route();
  return work;
}

}  // namespace vanillatiller
