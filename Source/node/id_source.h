#ifndef VANILLATILLER_SOURCE_NODE_ID_SOURCE_H_
#define VANILLATILLER_SOURCE_NODE_ID_SOURCE_H_

#include <boost/random/mersenne_twister.hpp>
#include <mutex>

#include "base/base.h"

namespace vanillatiller {

// Random generator passed to decision code.
using RandomGenerator = boost::random::mt19937_64;

// Draws identities. Safe to use from several threads.
class IdSource {
 public:
  // Seeds from the operating system, so that two runs share no identities.
  IdSource();

  RequestId NextRequest() { return {Next()}; }
  CallId NextCall() { return {Next()}; }
  uint64_t NextWord();

 private:
  WideId Next();

  std::mutex m_mutex;
  RandomGenerator m_generator;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_ID_SOURCE_H_
