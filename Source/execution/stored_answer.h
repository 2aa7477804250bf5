#ifndef VANILLATILLER_SOURCE_EXECUTION_STORED_ANSWER_H_
#define VANILLATILLER_SOURCE_EXECUTION_STORED_ANSWER_H_

#include <memory>
#include <string>

#include "base/base.h"

namespace vanillatiller {

// An answer stored for repeated requests and fences. `payload` is opaque to the
// execution library.
struct StoredAnswer {
  Outcome outcome = Outcome::kUnknown;
  std::string payload;
};

using StoredAnswerPtr = std::shared_ptr<const StoredAnswer>;

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_EXECUTION_STORED_ANSWER_H_
