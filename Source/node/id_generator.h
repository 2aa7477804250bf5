#ifndef VANILLATILLER_SOURCE_NODE_ID_GENERATOR_H_
#define VANILLATILLER_SOURCE_NODE_ID_GENERATOR_H_

#include <boost/random/mersenne_twister.hpp>
#include <mutex>

#include "base/base.h"

namespace vanillatiller {

// Random generator passed to decision code.
using RandomGenerator = boost::random::mt19937_64;

// Draws identities. Safe to use from several threads.
class IdGenerator {
 public:
  // Seeds from the operating system, so that two runs share no identities.
  IdGenerator();

  RequestId NextRequest() { return {Next()}; }
  CallId NextCall() { return {Next()}; }
  uint64_t NextRandom64();

 private:
  WideId Next();

  std::mutex m_mutex;
  RandomGenerator m_generator;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_ID_GENERATOR_H_
