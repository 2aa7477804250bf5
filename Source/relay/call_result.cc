#include "relay/call_result.h"

#include <algorithm>

namespace vanillatiller {
namespace {

relay::Fate EncodeOutcome(Outcome outcome) {
  switch (outcome) {
    case Outcome::kComplete:
      return relay::FATE_ANSWERED;
    case Outcome::kNotRun:
      return relay::FATE_NOT_RUN;
    case Outcome::kUnknown:
      break;
  }
  return relay::FATE_UNKNOWN;
}

// Values added by newer protocol versions are treated as unknown.
Outcome DecodeFate(relay::Fate fate) {
  if (fate == relay::FATE_ANSWERED) return Outcome::kComplete;
  if (fate == relay::FATE_NOT_RUN) return Outcome::kNotRun;
  return Outcome::kUnknown;
}

}  // namespace

void EncodeHeaders(const HttpHeaders& headers,
                   google::protobuf::RepeatedPtrField<relay::Header>* encoded) {
  for (const HttpHeader& field : headers.fields()) {
    relay::Header* header = encoded->Add();
    header->set_name(field.name);
    header->set_value(field.value);
  }
}

HttpHeaders DecodeHeaders(
    const google::protobuf::RepeatedPtrField<relay::Header>& encoded) {
  HttpHeaders headers;
  for (const relay::Header& header : encoded) {
    headers.Add(header.name(), header.value());
  }
  return headers;
}

Duration ClampedMicroseconds(uint64_t us) {
  return std::chrono::microseconds(std::min(us, ToMicroseconds(kMaxCallTime)));
}

Duration TimeLeft(const relay::Call& call) {
  return ClampedMicroseconds(call.time_left_us());
}

relay::Load EncodeLoad(const PeerLoad& load) {
  relay::Load encoded;
  encoded.set_in_flight(load.in_flight);
  encoded.set_queued(load.queued);
  encoded.set_limit(load.concurrency_limit);
  encoded.set_leaving(load.leaving);
  return encoded;
}

PeerLoad DecodeLoad(const relay::Load& load) {
  return {load.in_flight(), load.queued(), load.limit(), load.leaving(),
          load.server().has_rate_limit()};
}

relay::Answer EncodeAnswer(uint64_t id, CallResult* result) {
  relay::Answer answer;
  answer.set_id(id);
  answer.set_fate(EncodeOutcome(result->outcome));
  answer.set_reason(static_cast<uint32_t>(result->code));
  if (result->outcome == Outcome::kComplete) {
    answer.set_status(static_cast<uint32_t>(result->response.status));
    EncodeHeaders(result->response.headers, answer.mutable_headers());
    answer.set_body(std::move(result->response.body));
  }
  if (result->has_load) *answer.mutable_load() = EncodeLoad(result->load);
  answer.set_wait_us(ToMicroseconds(result->expected_wait));
  answer.set_overload_below(result->overload_below);
  return answer;
}

CallResult DecodeAnswer(relay::Answer* answer) {
  CallResult result;
  result.outcome = DecodeFate(answer->fate());
  result.code = answer->reason() <= static_cast<uint32_t>(kLastRefusalCode)
                    ? static_cast<RefusalCode>(answer->reason())
                    : RefusalCode::kNone;
  if (result.outcome == Outcome::kComplete &&
      !IsFinalHttpStatus(answer->status())) {
    result.outcome = Outcome::kUnknown;
    result.code = RefusalCode::kIncompleteAnswer;
  }
  result.response.status = static_cast<int>(answer->status());
  result.response.headers = DecodeHeaders(answer->headers());
  result.response.body = std::move(*answer->mutable_body());
  result.has_load = answer->has_load();
  result.load = DecodeLoad(answer->load());
  result.expected_wait = ClampedMicroseconds(answer->wait_us());
  result.overload_below = answer->overload_below();
  return result;
}

}  // namespace vanillatiller
