#include "relay/server_answer.h"

#include <utility>

namespace vanillatiller {
namespace {

constexpr int kMisdirected = 421;

bool IsSuccess(int status) { return status >= 200 && status < 300; }

// Returns true for statuses that conventionally mean that the request was not
// run.
bool ClaimsNotRun(int status) {
  return status == 408 || status == kMisdirected || status == 429 ||
         status == 503;
}

CallResult MakeFailure(Outcome outcome, RefusalCode code) {
  CallResult result;
  result.outcome = outcome;
  result.code = code;
  return result;
}

}  // namespace

CallResult ClassifyExchange(ExchangeResult exchange,
                            const ProtocolNames& names) {
  switch (exchange.end) {
    case ExchangeEnd::kNotSent:
      return MakeFailure(Outcome::kNotRun, RefusalCode::kBackendUnreachable);
    case ExchangeEnd::kNoAnswer:
    case ExchangeEnd::kTooLarge:
      return MakeFailure(Outcome::kUnknown, RefusalCode::kIncompleteAnswer);
    case ExchangeEnd::kAnswered:
      break;
  }
  HttpResponse& response = exchange.response;
  if (response.status == kMisdirected) {
    return MakeFailure(Outcome::kNotRun, RefusalCode::kUnknownIncarnation);
  }
  const bool was_refused = response.headers.Find(names.not_run).has_value();
  if (!was_refused && IsSuccess(response.status) &&
      (!response.headers.Find(names.answer_digest) ||
       response.headers.Find("content-encoding"))) {
    return MakeFailure(Outcome::kUnknown, RefusalCode::kIncompleteAnswer);
  }
  CallResult result;
  result.has_notice = true;
  result.notice = ReadServerNotice(response.headers, names);
  if (was_refused || ClaimsNotRun(response.status)) {
    // Without the not-run field the request may have run, whatever the status.
    result.outcome = was_refused ? Outcome::kNotRun : Outcome::kUnknown;
    result.code = RefusalCode::kBackendRefused;
    return result;
  }
  result.outcome = Outcome::kComplete;
  result.response = std::move(response);
  result.response.headers.RemoveConnectionFields();
  // The caller's node knows the request ID, and traffic between nodes is
  // billed.
  result.response.headers.Remove(names.request_id);
  return result;
}

bool IsShed(const CallResult& result) {
  return result.outcome == Outcome::kNotRun &&
         result.code == RefusalCode::kBackendRefused;
}

}  // namespace vanillatiller
