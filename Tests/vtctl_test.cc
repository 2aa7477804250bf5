#define BOOST_TEST_MODULE vtctl
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <sstream>

#include "fleetconfig/fleetconfig.h"
#include "vtctl/command.h"

namespace vanillatiller {
namespace {

struct Run {
  ExitStatus status;
  std::string out;
  std::string error;
};

Run RunWords(const std::vector<std::string>& words,
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

// Guards against exit statuses that scripts cannot rely on, and errors that
// name no file or no remedy.
BOOST_AUTO_TEST_CASE(StatusAndMessages) {
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
       ExitStatus::kFaults,
       "",
       "board-2.note.toml:3:16: the note is made on version 1"},
      {{"note", "check", "absent.toml", kNote},
       ExitStatus::kUnreachable,
       "",
       "absent.toml: cannot read the file: No such file"},
      {{"note", "check", kNote, kBoard},
       ExitStatus::kFaults,
       "",
       "unknown field"},
      {{"note", "diff", kBoard, kBoard},
       ExitStatus::kFaults,
       "",
       "does not follow base_version"},
      {{"note", "apply", kBoard, kNote},
       ExitStatus::kOk,
       "name = \"kiosk\"",
       ""},
  };
  for (const CommandCase& test : cases) {
    const Run run = RunWords(test.words);
    BOOST_TEST((run.status == test.status), run.error);
    BOOST_TEST(run.out.find(test.out) != std::string::npos, run.out);
    BOOST_TEST(run.error.find(test.error) != std::string::npos, run.error);
  }
}

// Guards against JSON that scripts cannot parse, in success and in failure.
BOOST_AUTO_TEST_CASE(JsonOutput) {
  CommandOptions options;
  options.json = true;
  const auto sound = nlohmann::json::parse(
      RunWords({"note", "check", kBoard, kNote}, options).out);
  BOOST_TEST(sound["ok"] == true);
  BOOST_TEST(sound["note"]["added"].size() == 2U);
  const auto faulty = nlohmann::json::parse(
      RunWords({"note", "check", kConsortium, kNote}, options).out);
  BOOST_TEST(faulty["ok"] == false);
  BOOST_TEST(faulty["findings"][0]["line"] == 3);
}

// Guards against an applied value that differs from the digest that the note
// names, and against examples that no longer load.
BOOST_AUTO_TEST_CASE(ExamplesApply) {
  const Run run = RunWords({"note", "apply", kBoard, kNote});
  Findings findings;
  const auto value = LoadFleetConfig(run.out, "out", &findings);
  BOOST_TEST_REQUIRE(value.has_value(), FormatFindings(findings));
  BOOST_TEST(value->version == 2U);
  BOOST_TEST(value->services.size() == 4U);
  CommandOptions options;
  options.json = true;
  const auto answer = nlohmann::json::parse(
      RunWords({"note", "apply", kBoard, kNote}, options).out);
  BOOST_TEST(answer["digest"] == ToHex(ConfigDigest(*value)));
  // Both examples load, so only their equal versions are reported.
  const Run consortium = RunWords({"note", "diff", kConsortium, kBoard});
  BOOST_TEST(consortium.error.find("does not follow") != std::string::npos,
             consortium.error);
}

}  // namespace
}  // namespace vanillatiller
