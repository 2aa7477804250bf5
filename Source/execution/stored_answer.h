#ifndef VANILLATILLER_SOURCE_EXECUTION_STORED_ANSWER_H_
#define VANILLATILLER_SOURCE_EXECUTION_STORED_ANSWER_H_

#include <memory>
#include <string>

#include "base/base.h"

namespace vanillatiller {

// An answer that is kept for a repeat or a fence. The execution library does
// not look into `payload`.
struct StoredAnswer {
  Outcome outcome = Outcome::kUnknown;
  std::string payload;
};

using StoredAnswerPtr = std::shared_ptr<const StoredAnswer>;

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_EXECUTION_STORED_ANSWER_H_
