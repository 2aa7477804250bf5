#define BOOST_TEST_MODULE vtctl
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

#include "fleetconfig/fleetconfig.h"
#include "vtctl/command.h"

namespace vanillatiller {
namespace {

struct CommandResult {
  ExitStatus status;
  std::string out;
  std::string error;
};

CommandResult RunVtctl(const std::vector<std::string>& words,
                       const CommandOptions& options = {},
                       FleetClient* client = nullptr) {
  std::ostringstream out;
  std::ostringstream error;
  const ExitStatus status = RunCommand(words, options, client, out, error);
  return {status, out.str(), error.str()};
}

const std::string kBoard = EXAMPLES_DIR "board.toml";
const std::string kConsortium = EXAMPLES_DIR "consortium.toml";
const std::string kNote = EXAMPLES_DIR "board-2.note.toml";

struct CommandCase {
  std::vector<std::string> words;
  ExitStatus status;
  std::string_view out;
  std::string_view error;
};

// Guards against wrong exit statuses, which scripts depend on, and against
// error messages without the file name or the correct usage.
BOOST_AUTO_TEST_CASE(ReportsExitStatusAndMessages) {
  const CommandCase cases[] = {
      {{"help"}, ExitStatus::kOk, "Exit statuses:", ""},
      {{}, ExitStatus::kUsage, "", "no command given"},
      {{"note"}, ExitStatus::kUsage, "", "vtctl note apply BASE NOTE"},
      {{"note", "diff", "a"}, ExitStatus::kUsage, "", "takes 2 arguments"},
      {{"note", "check", kBoard, kNote},
       ExitStatus::kOk,
       "calendar.overview",
       ""},
      {{"note", "check", kConsortium, kNote},
       ExitStatus::kFailed,
       "",
       "board-2.note.toml:3:16: the note is made on version 1"},
      {{"note", "check", "absent.toml", kNote},
       ExitStatus::kUnreachable,
       "",
       "absent.toml: cannot read the file: No such file"},
      {{"note", "check", kNote, kBoard},
       ExitStatus::kFailed,
       "",
       "unknown field"},
      {{"note", "diff", kBoard, kBoard},
       ExitStatus::kFailed,
       "",
       "does not follow base_version"},
      {{"note", "apply", kBoard, kNote},
       ExitStatus::kOk,
       "name = \"kiosk\"",
       ""},
  };
  for (const CommandCase& test : cases) {
    const CommandResult result = RunVtctl(test.words);
    BOOST_TEST((result.status == test.status), result.error);
    BOOST_TEST(result.out.find(test.out) != std::string::npos, result.out);
    BOOST_TEST(result.error.find(test.error) != std::string::npos,
               result.error);
  }
}

// Guards against invalid JSON output, both on success and on failure.
BOOST_AUTO_TEST_CASE(PrintsParsableJson) {
  CommandOptions options;
  options.json = true;
  const auto sound = nlohmann::json::parse(
      RunVtctl({"note", "check", kBoard, kNote}, options).out);
  BOOST_TEST(sound["ok"] == true);
  BOOST_TEST(sound["note"]["added"].size() == 2U);
  const auto faulty = nlohmann::json::parse(
      RunVtctl({"note", "check", kConsortium, kNote}, options).out);
  BOOST_TEST(faulty["ok"] == false);
  BOOST_TEST(faulty["findings"][0]["line"] == 3);
}

// Guards against an applied configuration that does not match the digest in the
// note, and against example files that no longer load.
BOOST_AUTO_TEST_CASE(AppliesExampleNote) {
  const CommandResult result = RunVtctl({"note", "apply", kBoard, kNote});
  Findings findings;
  const auto value = LoadFleetConfig(result.out, "out", &findings);
  BOOST_TEST_REQUIRE(value.has_value(), FormatFindings(findings));
  BOOST_TEST(value->version == 2U);
  BOOST_TEST(value->services.size() == 4U);
  CommandOptions options;
  options.json = true;
  const auto answer = nlohmann::json::parse(
      RunVtctl({"note", "apply", kBoard, kNote}, options).out);
  BOOST_TEST(answer["digest"] == ToHex(ConfigDigest(*value)));
  // Both examples are valid, so the equal versions are the only error.
  const CommandResult consortium =
      RunVtctl({"note", "diff", kConsortium, kBoard});
  BOOST_TEST(consortium.error.find("does not follow") != std::string::npos,
             consortium.error);
}

// Fleet client with scripted answers. Its clock advances only in Sleep.
class FakeFleet final : public FleetClient {
 public:
  struct FakeNode {
    FleetConfig config;
    bool confirmed = true;
    std::string conflict;
    std::string members = "[]";
    std::string edges = "{}";
    // Time at which `next` replaces `config`.
    TimePoint switch_at = TimePoint::max();
    FleetConfig next;
  };

  std::map<std::string, FakeNode> nodes;

  std::optional<std::string> GetStatus(const std::string& node,
                                       const std::string& part,
                                       Reason* reason) override {
    const FakeNode* fake = Find(node, reason);
    if (fake == nullptr) return std::nullopt;
    if (part == "members") return fake->members;
    if (part == "edges") return fake->edges;
    const FleetConfig& config = ConfigOf(*fake);
    const nlohmann::json summary = {
        {"vm", "vm-" + node},
        {"config_version", config.version},
        {"config_digest", ToHex(ConfigDigest(config))},
        {"config_confirmed", fake->confirmed},
        {"config_conflict", fake->conflict}};
    return summary.dump();
  }

  std::optional<NodeConfig> GetConfig(const std::string& node,
                                      Reason* reason) override {
    const FakeNode* fake = Find(node, reason);
    if (fake == nullptr) return std::nullopt;
    const FleetConfig& config = ConfigOf(*fake);
    return NodeConfig{config.version, ConfigDigest(config), fake->confirmed,
                      FormatFleetConfig(config), fake->conflict};
  }

  std::optional<DrainResult> Drain(const std::string& node, const std::string&,
                                   Reason* reason) override {
    if (Find(node, reason) == nullptr) return std::nullopt;
    return DrainResult{true, 4};
  }

  TimePoint Now() override { return m_now; }
  void Sleep(Duration duration) override { m_now += duration; }

 private:
  const FakeNode* Find(const std::string& node, Reason* reason) const {
    const auto found = nodes.find(node);
    if (found != nodes.end()) return &found->second;
    reason->text = "connection refused";
    return nullptr;
  }

  const FleetConfig& ConfigOf(const FakeNode& node) const {
    return m_now >= node.switch_at ? node.next : node.config;
  }

  TimePoint m_now{std::chrono::seconds(100)};
};

FleetConfig LoadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  Findings findings;
  return *LoadFleetConfig(text.str(), path, &findings);
}

// Returns the configuration after applying the example note.
FleetConfig BoardAfterNote() {
  std::ifstream file(kNote);
  std::stringstream text;
  text << file.rdbuf();
  Findings findings;
  return *ApplyNote(LoadFile(kBoard), *ParseNote(text.str(), kNote, &findings),
                    kNote, &findings);
}

struct VerifyCase {
  std::string_view name;
  FakeFleet::FakeNode node;
  // Text that the output must contain.
  std::string_view expected;
  ExitStatus status;
};

// Guards against a verification that succeeds although a node differs, is
// unconfirmed, has a conflict or does not answer, or that omits such a node
// from its report.
BOOST_AUTO_TEST_CASE(VerifyReportsNodesThatDiffer) {
  const FleetConfig first = LoadFile(kBoard);
  const FleetConfig second = BoardAfterNote();
  FleetConfig newer = second;
  newer.version = 3;
  FleetConfig reverted = newer;
  reverted.tenants.push_back({"partners", 1});
  FleetConfig altered = second;
  altered.tenants[0].weight = 77;
  const TimePoint start{std::chrono::seconds(100)};
  const VerifyCase cases[] = {
      {"in force", {second}, "in-force", ExitStatus::kOk},
      {"newer", {newer}, "newer", ExitStatus::kOk},
      {"old",
       {first},
       "added tenant \"kiosk\" is missing",
       ExitStatus::kFailed},
      {"old, chain",
       {first},
       "changed chain \"chain\" has different fields",
       ExitStatus::kFailed},
      {"newer, item lost",
       {reverted},
       "withdrawn tenant \"partners\" still exists",
       ExitStatus::kFailed},
      {"same version, other value",
       {altered},
       "but the digest is",
       ExitStatus::kFailed},
      {"unconfirmed", {second, false}, "unconfirmed", ExitStatus::kFailed},
      {"conflict",
       {second, true, "two values"},
       "two values",
       ExitStatus::kFailed},
      {"switches in time",
       {first, true, "", "[]", "{}", start + std::chrono::seconds(9), second},
       "in-force",
       ExitStatus::kOk},
      {"switches too late",
       {first, true, "", "[]", "{}", start + std::chrono::seconds(12), second},
       "differs",
       ExitStatus::kFailed},
  };
  for (const VerifyCase& test : cases) {
    FakeFleet fleet;
    fleet.nodes["a"] = {second};
    fleet.nodes["b"] = test.node;
    CommandOptions options;
    options.nodes = {"a", "b"};
    const CommandResult result = RunVtctl({"verify", kNote}, options, &fleet);
    BOOST_TEST((result.status == test.status), test.name << result.out);
    BOOST_TEST(result.out.find(test.expected) != std::string::npos,
               test.name << result.out);
  }
  FakeFleet fleet;
  fleet.nodes["a"] = {second};
  CommandOptions options;
  options.nodes = {"a", "gone"};
  options.json = true;
  const CommandResult result = RunVtctl({"verify", kNote}, options, &fleet);
  BOOST_TEST((result.status == ExitStatus::kUnreachable));
  const auto json = nlohmann::json::parse(result.out);
  BOOST_TEST(json["ok"] == false);
  BOOST_TEST(json["nodes"][1]["state"] == "unreachable");
  BOOST_TEST(json["nodes"][1]["details"][0] == "connection refused");
}

// Guards against reports that silently omit unreachable nodes, and against
// differences between the nodes that are not reported.
BOOST_AUTO_TEST_CASE(FleetCommandsReportMissingAndInconsistentNodes) {
  FakeFleet fleet;
  fleet.nodes["a"] = {LoadFile(kBoard)};
  fleet.nodes["b"] = fleet.nodes["a"];
  fleet.nodes["a"].members =
      R"([{"vm":"v1","state":"live"},{"vm":"v2","state":"live"}])";
  fleet.nodes["b"].members = R"([{"vm":"v1","state":"failed"}])";
  CommandOptions options;
  BOOST_TEST(
      (RunVtctl({"status"}, options, &fleet).status == ExitStatus::kUsage));
  options.nodes = {"a", "b", "gone"};
  const CommandResult status = RunVtctl({"status"}, options, &fleet);
  BOOST_TEST((status.status == ExitStatus::kUnreachable));
  BOOST_TEST(status.out.find("vm-b") != std::string::npos);
  BOOST_TEST(status.error.find("gone: no answer: connection refused") !=
             std::string::npos);
  options.nodes = {"a", "b"};
  const CommandResult members = RunVtctl({"members"}, options, &fleet);
  BOOST_TEST((members.status == ExitStatus::kFailed));
  BOOST_TEST(members.out.find("failed (1), live (1)") != std::string::npos,
             members.out);
  BOOST_TEST(members.out.find("live (1), unknown (1)") != std::string::npos,
             members.out);
  // Calls to the last service of the chain spend most of their round trip in
  // its queue.
  fleet.nodes["b"].edges = R"({"service":"records","load":{"slots":16,
      "concurrency_limit":4,"offered":1000,"limit_reached":900},
      "edges":[{"caller":"ledger","callee":"records","rank":"urgent",
      "calls":1000,"attempts":1000,"outcomes":{"complete":800},
      "refusals":{"overload":200},"first_refusers":{"records":200},
      "round_trip_us":9000000,"queue_wait_us":8000000}],
      "connections":[{"caller":"ledger","callee":"records"}]})";
  options.window = Duration::zero();
  const CommandResult diagnosis = RunVtctl({"diagnose"}, options, &fleet);
  BOOST_TEST((diagnosis.status == ExitStatus::kFailed));
  BOOST_TEST(diagnosis.out.find("20.0% of 1000 calls refused for overload, "
                                "first by records (200)") != std::string::npos,
             diagnosis.out);
  BOOST_TEST(
      diagnosis.out.find("Overload begins in \"records\"") != std::string::npos,
      diagnosis.out);
  // The counters do not change during the window, so the verdict is healthy.
  options.window = std::chrono::seconds(5);
  options.json = true;
  const CommandResult window = RunVtctl({"diagnose"}, options, &fleet);
  BOOST_TEST((window.status == ExitStatus::kOk));
  BOOST_TEST(nlohmann::json::parse(window.out)["verdict"] == "healthy");
  options.json = false;
  BOOST_TEST(RunVtctl({"drain", "a"}, options, &fleet).out ==
             "a: draining, 4 calls in flight\n");
  BOOST_TEST((RunVtctl({"drain", "gone"}, options, &fleet).status ==
              ExitStatus::kUnreachable));
}

}  // namespace
}  // namespace vanillatiller
