#ifndef VANILLATILLER_SOURCE_NODE_CALL_ANSWER_H_
#define VANILLATILLER_SOURCE_NODE_CALL_ANSWER_H_

#include <cstdint>
#include <string>

#include "base/base.h"
#include "wire/wire.h"

namespace vanillatiller {

// Load of a callee, included in every answer.
struct LoadReport {
  uint32_t in_flight = 0;
  uint32_t queued = 0;
  uint32_t concurrency_limit = 0;
  uint64_t threshold = 0;
  bool leaving = false;
  Incarnation incarnation = 0;
  // The callee's clock at the time of this report; the epoch means unknown.
  TimePoint clock;
};

// The answer to one attempt of one call.
struct CallAnswer {
  Outcome outcome = Outcome::kUnknown;
  // Reason why the call was refused or its outcome is unknown.
  Reason reason;
  // Service in which the refusal originated: the deepest one in the call chain.
  std::string refused_by;
  // HTTP status of the backend server; 0 if it did not respond.
  uint32_t status = 0;
  std::string body;
  uint32_t unspent_attempts = 0;
  // Attempts started for this call and its downstream calls, including this
  // one.
  uint32_t attempts = 0;
  LoadReport load;
  Duration queue_wait{};
  Duration backend_time{};
  // Ticket that the caller can use for its next non-idempotent request.
  std::string ticket;
};

// Returns an answer with the outcome "not run".
CallAnswer NotRun(RefusalCode code, std::string text);

// Returns an answer for a call that may or may not have run.
CallAnswer UnknownOutcome(RefusalCode code, std::string text);

void ToWire(const LoadReport& load, v1::LoadReport* message);
LoadReport FromWire(const v1::LoadReport& message);

void ToWire(const CallAnswer& answer, const CallId& call, v1::Answer* message);

// Converts a received answer. If it belongs to another call, or its body does
// not match the declared length and hash, returns an unknown outcome with
// kIncompleteAnswer.
CallAnswer FromWire(const v1::Answer& message, const CallId& call);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_CALL_ANSWER_H_
