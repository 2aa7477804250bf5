#ifndef VANILLATILLER_SOURCE_NODE_ID_GENERATOR_H_
#define VANILLATILLER_SOURCE_NODE_ID_GENERATOR_H_

#include <boost/random/mersenne_twister.hpp>
#include <mutex>

#include "base/base.h"

namespace vanillatiller {

// Random generator used by the decision logic.
using RandomGenerator = boost::random::mt19937_64;

// Generates random request and call IDs. Thread-safe.
class IdGenerator {
 public:
  // Seeds from the operating system, so that IDs differ between runs.
  IdGenerator();

  RequestId NextRequest() { return {NextId()}; }
  CallId NextCall() { return {NextId()}; }
  uint64_t NextRandom64();

 private:
  WideId NextId();

  std::mutex m_mutex;
  RandomGenerator m_generator;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_ID_GENERATOR_H_
