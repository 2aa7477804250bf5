#ifndef VANILLATILLER_SOURCE_ADMISSION_WORK_H_
#define VANILLATILLER_SOURCE_ADMISSION_WORK_H_

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

#include "admission/admission_threshold.h"
#include "base/base.h"

namespace vanillatiller {

// Identity of one call within one Admission; chosen by the caller of Offer and
// not reused while that call is queued or running.
using WorkId = uint64_t;

// One call that asks for a slot at the backend server.
struct Work {
  WorkId id = 0;
  // ShedHash of the request; lower values survive longer.
  uint32_t shed_hash = 0;
  // Order of the rank; 0 is the most important.
  uint32_t rank = 0;
  // Protected work has no bound on its wait but its deadline.
  bool is_protected = false;
  // True for calls at depth above 0: other services have already worked for
  // the request.
  bool is_nested = false;
  TimePoint deadline;
  // Only read during Offer.
  std::string_view tenant;
  std::string_view method;
};

// How a dispatched call ended at the backend server.
enum class BackendOutcome : uint8_t {
  kOk = 1,
  // The backend server refused the call because of its load.
  kShed = 2,
  // No answer, or an answer that says nothing of its load.
  kFailed = 3,
};

struct BackendResult {
  BackendOutcome outcome = BackendOutcome::kOk;
  // Time at the backend server without the time that it waited for downstream
  // calls. The latter says nothing of this backend server's own load.
  Duration latency{};
};

// The call may go to the backend server now.
struct Dispatch {
  WorkId id = 0;
  // Time since Offer.
  Duration queue_wait{};

  bool operator==(const Dispatch&) const = default;
};

// The call was not dispatched and will not be: it was not run.
struct Refuse {
  WorkId id = 0;
  // kOverload (queue full or wait too long), kBelowThreshold,
  // kDeadlineExceeded, kCancelled, kDuplicateCall or kLeaving.
  RefusalCode code = RefusalCode::kOverload;
  // Threshold of the call's tenant and method, for the caller.
  AdmissionThreshold threshold;
  // Time since Offer.
  Duration queue_wait{};

  bool operator==(const Refuse&) const = default;
};

// Every offered call gets exactly one action.
using AdmissionAction = std::variant<Dispatch, Refuse>;
using AdmissionActions = std::vector<AdmissionAction>;

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_ADMISSION_WORK_H_
