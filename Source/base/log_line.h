#ifndef VANILLATILLER_SOURCE_BASE_LOG_LINE_H_
#define VANILLATILLER_SOURCE_BASE_LOG_LINE_H_

#include <string>
#include <string_view>

namespace vanillatiller {

// One field of a structured log line.
struct LogField {
  std::string_view key;
  std::string value;
};

// Appends " key=value"; values with spaces are quoted and escaped so that one
// event stays on one line.
void AppendLogField(std::string_view key, std::string_view value,
                    std::string* line);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_BASE_LOG_LINE_H_
