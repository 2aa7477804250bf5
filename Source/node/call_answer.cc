#include "node/call_answer.h"

#include <utility>

namespace vanillatiller {
namespace {

CallAnswer MakeFailedAnswer(Outcome outcome, RefusalCode code,
                            std::string text) {
  CallAnswer answer;
  answer.outcome = outcome;
  answer.reason = {code, std::move(text)};
  return answer;
}

}  // namespace

void ToWire(const LoadReport& load, v1::LoadReport* message) {
  message->set_in_flight(load.in_flight);
  message->set_queued(load.queued);
  message->set_concurrency_limit(load.concurrency_limit);
  message->set_threshold(load.threshold);
  message->set_leaving(load.leaving);
  message->set_incarnation(load.incarnation);
  message->set_clock_us(ToMicroseconds(load.clock.time_since_epoch()));
}

LoadReport FromWire(const v1::LoadReport& message) {
  return {message.in_flight(),
          message.queued(),
          message.concurrency_limit(),
          message.threshold(),
          message.leaving(),
          message.incarnation(),
          ClockFromWire(message.clock_us())};
}

CallAnswer NotRun(RefusalCode code, std::string text) {
  return MakeFailedAnswer(Outcome::kNotRun, code, std::move(text));
}

CallAnswer UnknownOutcome(RefusalCode code, std::string text) {
  return MakeFailedAnswer(Outcome::kUnknown, code, std::move(text));
}

void ToWire(const CallAnswer& answer, const CallId& call, v1::Answer* message) {
  message->set_outcome(ToWire(answer.outcome));
  message->set_refusal(static_cast<uint32_t>(answer.reason.code));
  message->set_reason(answer.reason.text);
  message->set_refused_by(answer.refused_by);
  message->set_status(answer.status);
  message->set_body(answer.body);
  message->set_body_length(answer.body.size());
  message->set_body_hash(HashBytes(answer.body));
  message->set_unspent_attempts(answer.unspent_attempts);
  message->set_attempts(answer.attempts);
  ToWire(answer.load, message->mutable_load());
  message->set_call_high(call.high);
  message->set_call_low(call.low);
  message->set_queue_wait_us(ToMicroseconds(answer.queue_wait));
  message->set_backend_time_us(ToMicroseconds(answer.backend_time));
  message->set_ticket(answer.ticket);
}

CallAnswer FromWire(const v1::Answer& message, const CallId& call) {
  if (message.call_high() != call.high || message.call_low() != call.low) {
    return UnknownOutcome(RefusalCode::kIncompleteAnswer,
                          "answer does not match the call ID");
  }
  if (message.body_length() != message.body().size() ||
      message.body_hash() != HashBytes(message.body())) {
    return UnknownOutcome(RefusalCode::kIncompleteAnswer,
                          "answer body does not match its length or hash");
  }
  CallAnswer answer;
  answer.outcome = FromWire(message.outcome());
  if (answer.outcome == Outcome::kComplete &&
      !IsFinalHttpStatus(message.status())) {
    return UnknownOutcome(RefusalCode::kIncompleteAnswer,
                          "answer has no status of the protocol");
  }
  answer.reason = {RefusalFromWire(message.refusal()), message.reason()};
  answer.refused_by = message.refused_by();
  answer.status = message.status();
  answer.body = message.body();
  answer.unspent_attempts = message.unspent_attempts();
  answer.attempts = message.attempts();
  answer.load = FromWire(message.load());
  answer.queue_wait = std::chrono::microseconds(message.queue_wait_us());
  answer.backend_time = std::chrono::microseconds(message.backend_time_us());
  answer.ticket = message.ticket();
  return answer;
}

}  // namespace vanillatiller
