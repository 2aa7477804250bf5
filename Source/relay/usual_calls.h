#ifndef VANILLATILLER_SOURCE_RELAY_USUAL_CALLS_H_
#define VANILLATILLER_SOURCE_RELAY_USUAL_CALLS_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "base/base.h"

namespace vanillatiller {

// Usual time and size of the calls of each route, over all servers.
class UsualCalls {
 public:
  // Notes one call's time and returns it relative to the usual time before.
  double RelateTime(std::string_view route, Duration time);
  // Notes the bytes of one call, request and answer.
  void AddSize(std::string_view route, size_t bytes);
  // Mean kilobytes of a call; 0 before the first.
  double Kilobytes(std::string_view route) const;

 private:
  std::map<std::string, double, std::less<>> m_seconds;
  std::map<std::string, double, std::less<>> m_kilobytes;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_USUAL_CALLS_H_
