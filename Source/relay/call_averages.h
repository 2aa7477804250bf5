#ifndef VANILLATILLER_SOURCE_RELAY_CALL_AVERAGES_H_
#define VANILLATILLER_SOURCE_RELAY_CALL_AVERAGES_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "base/base.h"

namespace vanillatiller {

// Mean time and size of the calls of each route over all servers.
class CallAverages {
 public:
  // Records the time of a call and the combined size of its request and
  // response. Returns the time relative to the previous mean.
  double Add(std::string_view route, Duration time, size_t bytes);
  // Mean kilobytes of a call; 0 before the first call.
  double MeanKilobytes(std::string_view route) const;

 private:
  struct Means {
    double seconds = 0;
    double kilobytes = 0;
  };

  std::map<std::string, Means, std::less<>> m_routes;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_CALL_AVERAGES_H_
