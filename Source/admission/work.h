#ifndef VANILLATILLER_SOURCE_ADMISSION_WORK_H_
#define VANILLATILLER_SOURCE_ADMISSION_WORK_H_

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

#include "admission/admission_threshold.h"
#include "base/base.h"

namespace vanillatiller {

// ID of a call within one Admission, chosen by the caller of Offer. It must not
// be reused while that call is queued or running.
using WorkId = uint64_t;

// A call that requests a slot at the backend server.
struct Work {
  WorkId id = 0;
  // ShedHash of the request; calls with higher values are shed first.
  uint32_t shed_hash = 0;
  // Order of the rank; 0 is the highest priority.
  uint32_t rank = 0;
  // The queueing time of protected work is limited only by its deadline.
  bool is_protected = false;
  // True for calls at depth above 0, for whose request other services have
  // already done work.
  bool is_nested = false;
  TimePoint deadline;
  // Only read during Offer.
  std::string_view tenant;
  std::string_view method;
};

// Outcome of a dispatched call at the backend server.
enum class BackendOutcome : uint8_t {
  kOk = 1,
  // The backend server refused the call due to overload.
  kShed = 2,
  // No response, or one that does not indicate the server's load.
  kFailed = 3,
};

struct BackendResult {
  BackendOutcome outcome = BackendOutcome::kOk;
  // Processing time at the backend server, excluding the time spent waiting for
  // downstream calls, which does not depend on this server's load.
  Duration latency{};
};

// Send the call to the backend server.
struct Dispatch {
  WorkId id = 0;
  // Time since Offer.
  Duration queue_wait{};

  bool operator==(const Dispatch&) const = default;
};

// The call was not dispatched and will not be: it was not run.
struct Refuse {
  WorkId id = 0;
  // kOverload (queue full or wait too long), kRateLimited, kBelowThreshold,
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
