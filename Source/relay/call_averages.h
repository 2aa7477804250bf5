#ifndef VANILLATILLER_SOURCE_RELAY_CALL_AVERAGES_H_
#define VANILLATILLER_SOURCE_RELAY_CALL_AVERAGES_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "base/base.h"

namespace vanillatiller {

// Usual time and size of the calls of each route, over all servers.
class CallAverages {
 public:
  // Notes one call's time and its bytes, request and answer. Returns the time
  // relative to the usual time before.
  double Add(std::string_view route, Duration time, size_t bytes);
  // Mean kilobytes of a call; 0 before the first.
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
