#ifndef VANILLATILLER_SOURCE_RELAY_SERVER_QUALITY_H_
#define VANILLATILLER_SOURCE_RELAY_SERVER_QUALITY_H_

#include "base/base.h"

namespace vanillatiller {

// How well one server serves, apart from its load, as this node saw it.
//
// Load pattern: a server turns slow, or fails a part of its calls while its
// status check is good. It then looks idle, as its calls end soon or its slots
// suffice, and would draw more work than the good ones. What was seen fades,
// so that a server that recovered is tried again, a few calls at a time.
class ServerQuality {
 public:
  // A call was answered with success; its time relative to the usual one.
  void OnSuccess(double relative_time, TimePoint now);
  // A call failed, was shed by the server, or had no answer in time.
  void OnFailure(TimePoint now);

  // Cost to add to that of load and distance; 0 for a server like the others.
  double Cost(TimePoint now) const;

 private:
  void Decay(TimePoint now);
  static double DecayFactor(Duration passed);

  // Parts above the usual: time, and failures among recent calls.
  double m_excess_time = 0;
  double m_failures = 0;
  TimePoint m_updated;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_SERVER_QUALITY_H_
