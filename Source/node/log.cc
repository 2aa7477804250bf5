#include "node/log.h"

#include <array>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <iostream>
#include <utility>

namespace vanillatiller {
namespace {

constexpr std::array kSeverities = {
    boost::log::trivial::debug,
    boost::log::trivial::info,
    boost::log::trivial::warning,
    boost::log::trivial::error,
};

boost::log::trivial::severity_level Severity(LogLevel level) {
  return kSeverities[static_cast<size_t>(level)];
}

std::string& VmName() {
  static std::string* name = new std::string;
  return *name;
}

}  // namespace

void InitLogging(LogLevel level, std::string_view vm) {
  VmName() = std::string(vm);
  namespace expressions = boost::log::expressions;
  boost::log::add_common_attributes();
  boost::log::add_console_log(
      std::cerr,
      boost::log::keywords::format =
          (expressions::stream
           << "time="
           << expressions::format_date_time<boost::posix_time::ptime>(
                  "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
           << " level=" << boost::log::trivial::severity << " "
           << expressions::smessage));
  boost::log::core::get()->set_filter(boost::log::trivial::severity >=
                                      Severity(level));
}

void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields) {
  std::string line = "event=";
  line += event;
  AppendLogField("vm", VmName(), &line);
  for (const LogField& field : fields) {
    AppendLogField(field.key, field.value, &line);
  }
  BOOST_LOG_STREAM_WITH_PARAMS(
      boost::log::trivial::logger::get(),
      (boost::log::keywords::severity = Severity(level)))
      << line;
}

}  // namespace vanillatiller
