#define BOOST_TEST_MODULE fleet_config
#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <iostream>

#include "fleetconfig/fleetconfig.h"
#include "random_config.h"

namespace vanillatiller {
namespace {

constexpr std::string_view kSmallConfig = R"(version = 7
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
  const auto config = ParseFleetConfig(kSmallConfig, "value", &findings);
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

// The parser must not stop at the first error.
BOOST_AUTO_TEST_CASE(ReportsEveryErrorWithItsLocation) {
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

// Tests replace parts of this valid configuration to introduce errors.
constexpr std::string_view kValidConfig = R"(version = 7
[[rank]]
name = "urgent"
order = 0
[[rank]]
name = "batch"
order = 1
[[region]]
name = "north"
[[region]]
name = "south"
[[failure_domain]]
name = "north-1"
region = "north"
[[link]]
from = "north"
to = "south"
bytes_per_second = 5
[[tenant]]
name = "press-a"
[[service]]
name = "booking"
[[service.method]]
name = "book"
rank = "urgent"
calls = ["ledger.charge"]
[[service.method]]
name = "find"
rank = "batch"
idempotent = true
calls = ["ledger.look"]
[[service]]
name = "ledger"
[[service.method]]
name = "charge"
rank = "urgent"
[[service.method]]
name = "look"
rank = "batch"
idempotent = true
)";

std::string Replaced(std::string_view text, std::string_view from,
                     std::string_view to) {
  std::string result(text);
  const size_t position = result.find(from);
  BOOST_TEST_REQUIRE(position != std::string::npos, from);
  return result.replace(position, from.size(), to);
}

bool HasFinding(const Findings& findings, std::string_view text,
                uint32_t line) {
  return std::ranges::any_of(findings, [&](const Finding& finding) {
    return finding.line == line && finding.text.find(text) != std::string::npos;
  });
}

struct InvalidConfigCase {
  std::string_view from;
  std::string_view to;
  std::string_view expected;
  uint32_t line;
};

// A semantically invalid configuration must be rejected, and each error
// reported at its location.
BOOST_AUTO_TEST_CASE(SemanticErrors) {
  Findings none;
  BOOST_TEST_REQUIRE(LoadFleetConfig(kValidConfig, "v", &none).has_value(),
                     FormatFindings(none));
  const InvalidConfigCase cases[] = {
      {"rank = \"urgent\"", "rank = \"vital\"", "unknown rank \"vital\"", 23},
      {"region = \"north\"", "region = \"east\"", "unknown region \"east\"",
       12},
      {"to = \"south\"", "to = \"west\"", "unknown region \"west\"", 15},
      {"to = \"south\"", "to = \"north\"", "to itself", 15},
      {"ledger.charge", "ledger.pay", "unknown method \"ledger.pay\"", 26},
      {"name = \"batch\"\n", "name = \"urgent\"\n", "duplicate rank", 5},
      {"name = \"south\"", "name = \"north\"", "duplicate region", 10},
      {"name = \"ledger\"", "name = \"booking\"", "duplicate service", 32},
      {"name = \"find\"", "name = \"book\"", "duplicate method", 27},
      {"order = 1", "order = 0", "ambiguous rank order", 5},
      {"\"ledger.look\"", "\"ledger.charge\"", "calls the non-idempotent", 31},
      {"[\"ledger.look\"]", "[\"ledger.look\", \"ledger.look\"]", "twice", 31},
      {"name = \"look\"", "name = \"look\"\ncalls = [\"booking.find\"]",
       "call cycle: booking.find -> ledger.look -> booking.find", 39},
      {"version = 7", "version = 7\nchain.max_depth = 1",
       "deeper than max_depth", 24},
      {"press-a", "press.a", "a name has 1 to 128 letters", 19},
  };
  for (const InvalidConfigCase& fault : cases) {
    Findings findings;
    const std::string text = Replaced(kValidConfig, fault.from, fault.to);
    BOOST_TEST(!LoadFleetConfig(text, "v", &findings).has_value(), fault.to);
    BOOST_TEST(HasFinding(findings, fault.expected, fault.line),
               fault.to << " gave\n"
                        << FormatFindings(findings));
  }
}

// Semantic checks must run even if the parser reports errors, and must not
// stop at the first error.
BOOST_AUTO_TEST_CASE(SemanticAndFieldErrorsTogether) {
  std::string text = Replaced(kValidConfig, "order = 1", "order = 0");
  text = Replaced(text, "ledger.charge", "ledger.pay");
  text = Replaced(text, "bytes_per_second = 5", "bytes_per_second = -5");
  Findings findings;
  BOOST_TEST(!LoadFleetConfig(text, "v", &findings).has_value());
  BOOST_TEST(findings.size() == 3U, FormatFindings(findings));
}

// Rejects configurations that exceed the size limit of the configuration
// service.
BOOST_AUTO_TEST_CASE(ConfigOverSizeLimit) {
  Findings findings;
  const std::string text(kMaxValueBytes + 1, '#');
  BOOST_TEST(!ParseFleetConfig(text, "v", &findings).has_value());
  BOOST_TEST(!CheckFleetConfig(LargeConfig(1'300'000), "v", nullptr).empty());
  BOOST_TEST(CheckFleetConfig(LargeConfig(950'000), "v", nullptr).empty());
}

// The call graph search must not overflow the stack on a long call chain.
BOOST_AUTO_TEST_CASE(LongCallChain) {
  FleetConfig config;
  config.version = 1;
  config.ranks = {{"r", 0, false}};
  config.services.push_back({"s"});
  for (int i = 0; i < 9000; ++i) {
    MethodConfig method{"m" + std::to_string(i), "r"};
    method.calls = {"s.m" + std::to_string(i + 1)};
    config.services[0].methods.push_back(std::move(method));
  }
  config.services[0].methods.back().calls = {"s.m0"};
  const Findings findings = CheckFleetConfig(config, "v", nullptr);
  BOOST_TEST(findings.size() == 1U);
  BOOST_TEST(HasFinding(findings, "call cycle", 0));
}

// The canonical form must preserve all significant data and must not depend on
// the order of the items.
BOOST_AUTO_TEST_CASE(FormatRoundTrip) {
  BOOST_TEST(rc::check([] {
    FleetConfig config = RandomConfig(*rc::gen::inRange(1, 100));
    RC_ASSERT(CheckFleetConfig(config, "v", nullptr).empty());
    const std::string text = FormatFleetConfig(config);
    RC_ASSERT(FormatFleetConfig(Reversed(config)) == text);
    Findings findings;
    const auto parsed = LoadFleetConfig(text, "v", &findings);
    RC_ASSERT(parsed.has_value());
    Canonicalize(&config);
    RC_ASSERT(*parsed == config);
    RC_ASSERT(ConfigDigest(*parsed) == ConfigDigest(config));
  }));
}

// Special characters in names must be escaped.
BOOST_AUTO_TEST_CASE(FormatEscapesAnyName) {
  BOOST_TEST(rc::check([] {
    FleetConfig config;
    config.version = 1;
    const auto characters = *rc::gen::nonEmpty(
        rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127)));
    config.tenants.push_back({characters + "\x7f\"\\", 1});
    Findings findings;
    const auto parsed =
        ParseFleetConfig(FormatFleetConfig(config), "v", &findings);
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(*parsed == config);
  }));
}

// Applying a diff to its base must yield the target configuration.
BOOST_AUTO_TEST_CASE(ApplyingDiffYieldsTarget) {
  BOOST_TEST(rc::check([] {
    const FleetConfig base = RandomConfig(4);
    FleetConfig value = RandomConfig(9);
    const ReleaseNote note = DiffNote(Reversed(base), Reversed(value));
    Findings findings;
    const auto read = ParseNote(FormatNote(note), "n", &findings);
    RC_ASSERT(read.has_value());
    RC_ASSERT(*read == note);
    const auto result = ApplyNote(base, *read, "n", &findings);
    if (!result) RC_FAIL(FormatFindings(findings));
    Canonicalize(&value);
    RC_ASSERT(*result == value);
  }));
}

FleetConfig ValidConfig() {
  Findings findings;
  return *LoadFleetConfig(kValidConfig, "v", &findings);
}

// Returns a note that changes the weight of the only tenant.
ReleaseNote WeightNote(uint32_t weight, uint64_t version) {
  FleetConfig value = ValidConfig();
  value.version = version;
  value.tenants[0].weight = weight;
  return DiffNote(ValidConfig(), value);
}

struct ApplicabilityCase {
  ReleaseNote note;
  NoteApplicability expected;
  std::string_view text;
};

// A note must not be applied twice, after a conflicting note, or to a newer
// version than its base, and the error must say why.
BOOST_AUTO_TEST_CASE(InapplicableNotes) {
  Findings findings;
  const auto second =
      ApplyNote(ValidConfig(), WeightNote(2, 8), "n", &findings);
  BOOST_TEST_REQUIRE(second.has_value(), FormatFindings(findings));
  ReleaseNote other_base = WeightNote(2, 9);
  other_base.base_version = 8;
  ReleaseNote future = other_base;
  future.base_version = 10;
  future.version = 11;
  const ApplicabilityCase cases[] = {
      {WeightNote(2, 8), NoteApplicability::kAlreadyApplied, "already applied"},
      {WeightNote(3, 8), NoteApplicability::kConflicting,
       "a different note already produced"},
      {WeightNote(3, 9), NoteApplicability::kSuperseded, "is outdated"},
      {other_base, NoteApplicability::kBaseDiffers, "has digest"},
      {future, NoteApplicability::kBaseMissing, "apply the notes between"},
  };
  for (const ApplicabilityCase& test : cases) {
    BOOST_TEST(
        (ClassifyNote(8, ConfigDigest(*second), test.note) == test.expected));
    Findings refused;
    BOOST_TEST(!ApplyNote(*second, test.note, "n", &refused).has_value());
    BOOST_TEST(HasFinding(refused, test.text, 0), FormatFindings(refused));
  }
}

struct InvalidNoteCase {
  std::string_view items;
  std::string_view expected;
  uint32_t line;
};

// An invalid note must be rejected, and each error reported at its location.
// Lines 1 to 4 are the header of the note.
BOOST_AUTO_TEST_CASE(NoteErrors) {
  const FleetConfig base = ValidConfig();
  const std::string head =
      "base_version = 7\nbase_digest = \"" + ToHex(ConfigDigest(base)) +
      "\"\nversion = 8\ndigest = \"" + std::string(64, '0') + "\"\n";
  const InvalidNoteCase cases[] = {
      {"", "the note specifies digest 0000", 4},
      {"[[withdrawn]]\nkind = \"tenant\"\nname = \"x\"",
       "is withdrawn but does not exist", 5},
      {"[[changed]]\nkind = \"tenant\"\nname = \"x\"\nweight = 2",
       "is changed but does not exist", 5},
      {"[[changed]]\nkind = \"tenant\"\nname = \"press-a\"\nweight = 1",
       "equals the base", 5},
      {"[[added]]\nkind = \"tenant\"\nname = \"press-a\"\nweight = 2",
       "already exists", 5},
      {"[[withdrawn]]\nkind = \"method\"\nname = \"ledger.charge\"",
       "withdrawn but method \"booking.book\" still uses it", 5},
      {"[[withdrawn]]\nkind = \"rank\"\nname = \"batch\"",
       "withdrawn but method \"booking.find\" still uses it", 5},
      {"[[withdrawn]]\nkind = \"region\"\nname = \"south\"",
       "withdrawn but link \"north->south\" still uses it", 5},
      {"[[withdrawn]]\nkind = \"service\"\nname = \"booking\"",
       "its method \"booking.book\" is not", 5},
      {"[[changed]]\nkind = \"method\"\nname = \"ledger.look\"\nrank = "
       "\"batch\"\nidempotent = false\ntimeout_ms = 1000\ncalls = []",
       "changes its idempotent flag while method \"booking.find\" calls it", 5},
      {"[[added]]\nkind = \"rank\"\nname = \"top\"\norder = 0\nprotected = "
       "true",
       "ambiguous rank order", 5},
      {"[[withdrawn]]\nkind = \"tenant\"\nname = \"press-a\"\n[[withdrawn]]\n"
       "kind = \"tenant\"\nname = \"press-a\"",
       "is listed twice", 8},
      {"[[added]]\nkind = \"method\"\nname = \"paper.cut\"\nrank = "
       "\"batch\"\nidempotent = false\ntimeout_ms = 1000\ncalls = []",
       "unknown service \"paper\"", 5},
      {"[[withdrawn]]\nkind = \"chain\"\nname = \"chain\"", "only be changed",
       5},
  };
  for (const InvalidNoteCase& test : cases) {
    Findings findings;
    const auto note = ParseNote(head + std::string(test.items), "n", &findings);
    BOOST_TEST_REQUIRE(note.has_value(), FormatFindings(findings));
    findings = CheckNote(base, *note, "n");
    BOOST_TEST(HasFinding(findings, test.expected, test.line),
               test.items << " gave\n"
                          << FormatFindings(findings));
    BOOST_TEST(!ApplyNote(base, *note, "n", &findings).has_value());
  }
}

// Missing and malformed fields of a note must be reported.
BOOST_AUTO_TEST_CASE(NoteSyntaxErrors) {
  Findings findings;
  const auto note = ParseNote(
      "base_version = 7\nbase_digest = \"xyz\"\nversion = 8\n[[added]]\n"
      "kind = \"flower\"\nname = \"a\"\n[[changed]]\nkind = \"method\"\n"
      "name = \"a\"\nrank = \"r\"\nbogus = 1\n",
      "n", &findings);
  BOOST_TEST(!note.has_value());
  BOOST_TEST(HasFinding(findings, "64 lower-case hexadecimal digits", 2));
  BOOST_TEST(HasFinding(findings, "field \"digest\" is missing", 1));
  BOOST_TEST(HasFinding(findings, "found \"flower\"", 5));
  BOOST_TEST(HasFinding(findings, "field \"idempotent\" is missing", 7));
  BOOST_TEST(HasFinding(findings, "SERVICE.METHOD", 9));
  BOOST_TEST(HasFinding(findings, "unknown field \"bogus\"", 11));
}

// The size of a delta must not grow with the size of the configuration: a node
// may receive 1,300 deltas a day within its budget of 14 KB/s.
BOOST_AUTO_TEST_CASE(SmallChangeGivesSmallNote) {
  const FleetConfig base = LargeConfig(950'000);
  FleetConfig value = base;
  value.version = 2;
  value.services[0].methods[0].timeout = std::chrono::milliseconds(1234);
  BOOST_TEST(FormatFleetConfig(base).size() > 800'000U);
  BOOST_TEST(FormatNote(DiffNote(base, value)).size() < 500U);
}

// Benchmark on a configuration of nearly 1 MB; disabled, so run it by name.
BOOST_AUTO_TEST_CASE(Measure, *boost::unit_test::disabled()) {
  const FleetConfig base = LargeConfig(950'000);
  FleetConfig value = base;
  value.version = 2;
  value.services[0].methods[0].timeout = std::chrono::milliseconds(1234);
  const std::string text = FormatFleetConfig(base);
  const ReleaseNote note = DiffNote(base, value);
  const std::string note_text = FormatNote(note);
  std::cout << "value " << text.size() << " B, note " << note_text.size()
            << " B\n";
  const auto print = [](std::string_view name, const auto& work) {
    constexpr int kRounds = 11;
    std::vector<double> times;
    for (int i = 0; i < kRounds; ++i) {
      const TimePoint start = BootClock::now();
      work();
      times.push_back(ToMilliseconds(BootClock::now() - start));
    }
    std::ranges::sort(times);
    std::cout << name << ": median " << times[kRounds / 2] << " ms, "
              << times.front() << " to " << times.back() << " ms\n";
  };
  Findings findings;
  print("load value", [&] { (void)LoadFleetConfig(text, "v", &findings); });
  print("format", [&] { (void)FormatFleetConfig(base); });
  print("digest", [&] { (void)ConfigDigest(base); });
  print("diff", [&] { (void)DiffNote(base, value); });
  print("parse note", [&] { (void)ParseNote(note_text, "n", &findings); });
  print("apply", [&] { (void)ApplyNote(base, note, "n", &findings); });
  BOOST_TEST(findings.empty());
}

}  // namespace
}  // namespace vanillatiller
