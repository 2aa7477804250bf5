#ifndef VANILLATILLER_SOURCE_BASE_REASON_H_
#define VANILLATILLER_SOURCE_BASE_REASON_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace vanillatiller {

// What a caller is told about its request.
enum class Outcome : uint8_t {
  // The complete answer is attached.
  kComplete = 1,
  // The request was not run and will not run.
  kNotRun = 2,
  // The request may or may not have run.
  kUnknown = 3,
};

// Why a request was refused or an operation failed. The values travel between
// nodes, so existing ones keep their numbers.
enum class RefusalCode : uint8_t {
  kNone = 0,
  kBadRequest = 1,
  kUnknownService = 2,
  kUnknownMethod = 3,
  kTooLarge = 4,
  kDeadlineExceeded = 5,
  kOverload = 6,
  kBelowThreshold = 7,
  kLeaving = 8,
  kNoPeer = 9,
  kTicketRequired = 10,
  kTicketInvalid = 11,
  kTicketExpired = 12,
  kAttemptsExhausted = 13,
  kDepthExceeded = 14,
  kBackendUnreachable = 15,
  kConnectionLost = 16,
  kUnknownIncarnation = 17,
  kNotIdempotent = 18,
  kCancelled = 19,
  kNoConfiguration = 20,
  kIncompleteAnswer = 21,
  kLinkBudget = 22,
  kDuplicateCall = 23,
  kBackendRefused = 24,
  kFenced = 25,
  // The backend server takes no more calls a second.
  kRateLimited = 26,
  // The memory for what is held for others is used up.
  kNoMemory = 27,
};

// Last refusal code; codes above it are unknown to this version.
inline constexpr RefusalCode kLastRefusalCode = RefusalCode::kNoMemory;

// Why an operation gave no value. Functions that return std::optional fill it
// in through a pointer argument when they return nullopt.
struct Reason {
  RefusalCode code = RefusalCode::kNone;
  std::string text;

  bool operator==(const Reason&) const = default;
};

// Stable lower-case name, as used in headers, logs and metrics:
// "deadline-exceeded". Values outside the enumeration give "unknown".
std::string_view RefusalCodeName(RefusalCode code);

// "complete", "not-run" or "unknown".
std::string_view OutcomeName(Outcome outcome);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_BASE_REASON_H_
