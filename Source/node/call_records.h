#ifndef VANILLATILLER_SOURCE_NODE_CALL_RECORDS_H_
#define VANILLATILLER_SOURCE_NODE_CALL_RECORDS_H_

#include <mutex>

#include "base/base.h"
#include "execution/execution.h"
#include "node/call_answer.h"

namespace vanillatiller {

// The execution ledger of a callee, for use from several threads, with answers
// in their wire form.
class CallRecords {
 public:
  explicit CallRecords(Incarnation incarnation);

  // Records a call right before its dispatch. Calls that name no incarnation
  // or no deadline on this clock are refused unless they are idempotent.
  BeginResult Begin(const CallContext& context, TimePoint now);

  // Keeps the answer of a call for which Begin() gave kRun.
  void Complete(const CallId& call, const CallAnswer& answer);

  void Fence(const v1::FenceRequest& request, TimePoint now,
             v1::FenceAnswer* response);

 private:
  const Incarnation m_incarnation;
  std::mutex m_mutex;
  ExecutionLedger m_ledger;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_CALL_RECORDS_H_
