#ifndef VANILLATILLER_SOURCE_NODE_CALL_RECORDS_H_
#define VANILLATILLER_SOURCE_NODE_CALL_RECORDS_H_

#include <mutex>

#include "base/base.h"
#include "execution/execution.h"
#include "node/call_answer.h"

namespace vanillatiller {

// Thread-safe execution ledger of a callee. Stores answers in serialized
// form.
class CallRecords {
 public:
  explicit CallRecords(Incarnation incarnation);

  // Records a call immediately before its dispatch. A call without a callee
  // incarnation or without a deadline on the callee's clock is refused unless
  // it is idempotent.
  BeginResult Begin(const CallContext& context, TimePoint now);

  // Stores the answer of a call for which Begin() returned kRun.
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
