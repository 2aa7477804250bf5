#define BOOST_TEST_MODULE fleet_config
#include <boost/test/unit_test.hpp>

#include "fleetconfig/fleetconfig.h"

namespace vanillatiller {
namespace {

constexpr std::string_view kSmallValue = R"(version = 7
[chain]
extra_attempts = 2
[[rank]]
name = "urgent"
order = 0
protected = true
[[service]]
name = "ledger"
slots = 70
connections = 530
[[service.method]]
name = "charge"
rank = "urgent"
idempotent = false
timeout_ms = 2000
calls = ["records.append"]
)";

BOOST_AUTO_TEST_CASE(ParsesAllFields) {
  Findings findings;
  const auto config = ParseFleetConfig(kSmallValue, "value", &findings);
  BOOST_TEST_REQUIRE(config.has_value(), FormatFindings(findings));
  BOOST_TEST(config->version == 7U);
  BOOST_TEST(config->chain.extra_attempts == 2U);
  const ServiceConfig* service = config->FindService("ledger");
  BOOST_TEST_REQUIRE(service != nullptr);
  BOOST_TEST(service->slots == 70U);
  const MethodConfig* method = service->FindMethod("charge");
  BOOST_TEST_REQUIRE(method != nullptr);
  BOOST_TEST(!method->idempotent);
  BOOST_TEST(method->timeout.count() == 2000);
  BOOST_TEST(method->calls.size() == 1U);
}

// Guards against a parser that stops at the first fault.
BOOST_AUTO_TEST_CASE(ReportsEveryFaultWithItsPlace) {
  Findings findings;
  const auto config = ParseFleetConfig(
      "version = \"x\"\n[[rank]]\norder = 300\nname = \"a\"\nbogus = 1\n",
      "value", &findings);
  BOOST_TEST(!config.has_value());
  BOOST_TEST_REQUIRE(findings.size() == 3U, FormatFindings(findings));
  BOOST_TEST(findings[0].line == 1U);
  BOOST_TEST(findings[1].line == 5U);
  BOOST_TEST(findings[2].line == 3U);
}

}  // namespace
}  // namespace vanillatiller
