#define BOOST_TEST_MODULE node_input
#include <boost/test/unit_test.hpp>
#include <functional>

#include "node/call_answer.h"
#include "node/settings.h"
#include "wire/wire.h"

namespace vanillatiller {
namespace {

constexpr TimePoint kNow = TimePoint(std::chrono::hours(1));
const CallId kCall{{1, 2}};

v1::Answer CompleteAnswer() {
  CallAnswer answer;
  answer.outcome = Outcome::kComplete;
  answer.status = 200;
  answer.body = "whole";
  v1::Answer message;
  ToWire(answer, kCall, &message);
  return message;
}

struct AnswerCase {
  const char* name;
  std::function<void(v1::Answer&)> corrupt;
  Outcome expected;
};

// Guards against an answer that is delivered to the wrong request, and against
// a truncated answer that is accepted as complete (P3).
BOOST_AUTO_TEST_CASE(OnlyIntactAnswerToSameCallIsComplete) {
  const std::vector<AnswerCase> cases = {
      {"intact", [](v1::Answer&) {}, Outcome::kComplete},
      {"other call", [](v1::Answer& a) { a.set_call_low(3); },
       Outcome::kUnknown},
      {"truncated", [](v1::Answer& a) { a.set_body("who"); },
       Outcome::kUnknown},
      {"truncated, with adjusted length",
       [](v1::Answer& a) {
         a.set_body("who");
         a.set_body_length(3);
       },
       Outcome::kUnknown},
      {"altered", [](v1::Answer& a) { a.set_body("whale"); },
       Outcome::kUnknown},
      {"empty", [](v1::Answer& a) { a.Clear(); }, Outcome::kUnknown},
      {"status 000", [](v1::Answer& a) { a.set_status(0); }, Outcome::kUnknown},
      {"interim status", [](v1::Answer& a) { a.set_status(199); },
       Outcome::kUnknown},
      {"status out of range", [](v1::Answer& a) { a.set_status(600); },
       Outcome::kUnknown},
      {"outcome out of range",
       [](v1::Answer& a) { a.set_outcome(static_cast<v1::Outcome>(77)); },
       Outcome::kUnknown},
  };
  for (const AnswerCase& entry : cases) {
    v1::Answer message = CompleteAnswer();
    entry.corrupt(message);
    BOOST_TEST((FromWire(message, kCall).outcome == entry.expected),
               entry.name);
  }
}

struct ContextCase {
  const char* name;
  std::function<void(v1::CallContext&)> corrupt;
};

// Guards against a forged or corrupted context that is accepted as a call.
BOOST_AUTO_TEST_CASE(InvalidContextsAreRejected) {
  CallContext context;
  context.request = {{1, 1}};
  context.call = kCall;
  context.service = "ledger";
  context.method = "read";
  context.deadline = kNow + std::chrono::seconds(1);
  v1::CallContext good;
  ToWire(context, kNow, &good);
  Reason reason;
  BOOST_TEST(FromWire(good, kNow, &reason).has_value());

  const std::vector<ContextCase> cases = {
      {"no request ID",
       [](auto& c) { c.set_request_high(0), c.set_request_low(0); }},
      {"no call ID", [](auto& c) { c.set_call_high(0), c.set_call_low(0); }},
      {"no service", [](auto& c) { c.clear_service(); }},
      {"method name too long",
       [](auto& c) { c.set_method(std::string(129, 'm')); }},
      {"tenant name too long",
       [](auto& c) { c.set_tenant(std::string(129, 't')); }},
      {"rank out of range", [](auto& c) { c.set_rank(256); }},
      {"depth out of range", [](auto& c) { c.set_depth(65); }},
      {"too many extra attempts", [](auto& c) { c.set_extra_attempts(1001); }},
      {"time left out of range",
       [](auto& c) { c.set_time_left_us(UINT64_MAX); }},
  };
  for (const ContextCase& entry : cases) {
    v1::CallContext message = good;
    entry.corrupt(message);
    reason = {};
    BOOST_TEST(!FromWire(message, kNow, &reason).has_value(), entry.name);
    BOOST_TEST((reason.code != RefusalCode::kNone), entry.name);
  }
}

constexpr std::string_view kSettings = R"([node]
vm = "vm-1"
service = "ledger"
region = "north"
failure_domain = "north-1"
[listeners]
public = "10.0.0.1:80"
local = "127.0.0.1:81"
peer = "127.0.0.1:82"
admin = "127.0.0.1:83"
[backend]
address = "127.0.0.1:84"
[platform]
address = "10.0.0.9:85"
)";

struct SettingsCase {
  const char* name;
  const char* from;
  const char* to;
  uint32_t line;
};

// Guards against a node that starts with settings that differ from what the
// operator intended, and against findings without the line of the error.
BOOST_AUTO_TEST_CASE(SettingsErrorsReportTheirLine) {
  const std::vector<SettingsCase> cases = {
      {"local listener not on loopback", "127.0.0.1:81", "10.0.0.1:81", 8},
      {"plaintext peer listener not on loopback", "127.0.0.1:82", "10.0.0.1:82",
       1},
      {"name instead of IP address", "10.0.0.9:85", "platform:85", 14},
      {"port out of range", "10.0.0.9:85", "10.0.0.9:99999", 14},
      {"signed port", "10.0.0.9:85", "10.0.0.9:+85", 14},
      {"unknown field", "region =", "zone =", 4},
      {"wrong type", "\"vm-1\"", "1", 2},
      {"TOML syntax error", "[backend]", "[backend", 11},
  };
  Findings findings;
  BOOST_TEST(ParseSettings(kSettings, "s", &findings).has_value(),
             FormatFindings(findings));
  for (const SettingsCase& entry : cases) {
    std::string text(kSettings);
    text.replace(text.find(entry.from), std::string_view(entry.from).size(),
                 entry.to);
    findings.clear();
    BOOST_TEST(!ParseSettings(text, "s", &findings).has_value(), entry.name);
    BOOST_TEST_REQUIRE(!findings.empty(), entry.name);
    const bool has_line =
        std::any_of(findings.begin(), findings.end(),
                    [&](const Finding& f) { return f.line == entry.line; });
    BOOST_TEST(has_line, entry.name << ": " << FormatFindings(findings));
  }
}

}  // namespace
}  // namespace vanillatiller
