#ifndef VANILLATILLER_SOURCE_NODE_LOG_H_
#define VANILLATILLER_SOURCE_NODE_LOG_H_

#include <initializer_list>
#include <string>
#include <string_view>

#include "base/base.h"

namespace vanillatiller {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Initializes logging to standard error, discarding events below `level`. The
// node writes nothing to disk.
void InitLogging(LogLevel level, std::string_view vm);

// Logs one event as one line: time, level, event name, VM, fields.
void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields = {});

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_LOG_H_
