#ifndef VANILLATILLER_SOURCE_RELAY_SERVER_QUALITY_H_
#define VANILLATILLER_SOURCE_RELAY_SERVER_QUALITY_H_

#include "base/base.h"

namespace vanillatiller {

// Failure rate and relative latency of a server as observed by this node,
// independent of its load.
//
// Load pattern: a server becomes slow, or fails some of its calls while its
// health check passes. It then appears idle, because its calls end early or its
// slots suffice, and would attract more work than healthy servers. Observations
// decay, so that a recovered server is tried again with a few calls at a time.
class ServerQuality {
 public:
  // Records a successful call and its time relative to the route's mean.
  void OnSuccess(double relative_time, TimePoint now);
  // Records a call that failed, was shed by the server, or timed out.
  void OnFailure(TimePoint now);

  // Cost added to the load and distance costs; 0 for a typical server.
  double Cost(TimePoint now) const;

 private:
  void Decay(TimePoint now);
  static double DecayFactor(Duration passed);

  // Moving averages of relative time above the mean, and of the failure rate.
  double m_excess_time = 0;
  double m_failures = 0;
  TimePoint m_updated;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_SERVER_QUALITY_H_
