#include "wire/conversions.h"

#include <algorithm>
#include <string>

namespace vanillatiller {
namespace {

constexpr size_t kMaxNameLength = 128;
constexpr uint32_t kMaxRank = 255;
constexpr uint32_t kMaxDepth = 64;
constexpr uint32_t kMaxExtraAttempts = 1000;
constexpr uint64_t kMaxTimeLeftUs = 3'600'000'000;
// A hundred years; larger values do not fit into a TimePoint.
constexpr uint64_t kMaxClockUs = 3'155'760'000'000'000;

bool IsValidName(const std::string& name) {
  return !name.empty() && name.size() <= kMaxNameLength;
}

std::optional<CallContext> Refuse(RefusalCode code, const char* text,
                                  Reason* reason) {
  *reason = {code, text};
  return std::nullopt;
}

}  // namespace

void ToWire(const CallContext& context, TimePoint now,
            v1::CallContext* message) {
  message->set_request_high(context.request.high);
  message->set_request_low(context.request.low);
  message->set_call_high(context.call.high);
  message->set_call_low(context.call.low);
  message->set_tenant(context.tenant);
  message->set_service(context.service);
  message->set_method(context.method);
  message->set_rank(context.rank);
  message->set_depth(context.depth);
  message->set_time_left_us(ToMicroseconds(context.deadline - now));
  message->set_extra_attempts(context.extra_attempts);
  message->set_idempotent(context.idempotent);
  message->set_callee_incarnation(context.callee_incarnation);
  message->set_not_after_us(
      ToMicroseconds(context.not_after.time_since_epoch()));
}

std::optional<CallContext> FromWire(const v1::CallContext& message,
                                    TimePoint now, Reason* reason) {
  const RefusalCode bad = RefusalCode::kBadRequest;
  if (message.request_high() == 0 && message.request_low() == 0) {
    return Refuse(bad, "request identity is missing", reason);
  }
  if (message.call_high() == 0 && message.call_low() == 0) {
    return Refuse(bad, "call identity is missing", reason);
  }
  if (!IsValidName(message.service()) || !IsValidName(message.method()) ||
      message.tenant().size() > kMaxNameLength) {
    return Refuse(bad, "service, method or tenant is empty or too long",
                  reason);
  }
  if (message.rank() > kMaxRank) {
    return Refuse(bad, "rank is out of range", reason);
  }
  if (message.depth() > kMaxDepth) {
    return Refuse(RefusalCode::kDepthExceeded, "call depth is out of range",
                  reason);
  }
  if (message.extra_attempts() > kMaxExtraAttempts ||
      message.time_left_us() > kMaxTimeLeftUs ||
      message.not_after_us() > kMaxClockUs) {
    return Refuse(bad, "extra attempts or deadline is out of range", reason);
  }
  CallContext context;
  context.request = {{message.request_high(), message.request_low()}};
  context.call = {{message.call_high(), message.call_low()}};
  context.tenant = message.tenant();
  context.service = message.service();
  context.method = message.method();
  context.rank = message.rank();
  context.depth = message.depth();
  context.deadline = now + std::chrono::microseconds(message.time_left_us());
  context.extra_attempts = message.extra_attempts();
  context.idempotent = message.idempotent();
  context.callee_incarnation = message.callee_incarnation();
  context.not_after = ClockFromWire(message.not_after_us());
  if (message.not_after_us() != 0) {
    context.deadline = std::min(context.deadline, context.not_after);
  }
  return context;
}

TimePoint ClockFromWire(uint64_t microseconds) {
  return TimePoint(
      std::chrono::microseconds(std::min(microseconds, kMaxClockUs)));
}

v1::Outcome ToWire(Outcome outcome) {
  return static_cast<v1::Outcome>(outcome);
}

Outcome FromWire(v1::Outcome outcome) {
  switch (outcome) {
    case v1::OUTCOME_COMPLETE:
      return Outcome::kComplete;
    case v1::OUTCOME_NOT_RUN:
      return Outcome::kNotRun;
    default:
      return Outcome::kUnknown;
  }
}

RefusalCode RefusalFromWire(uint32_t code) {
  if (code > static_cast<uint32_t>(kLastRefusalCode)) {
    return RefusalCode::kBadRequest;
  }
  return static_cast<RefusalCode>(code);
}

}  // namespace vanillatiller
