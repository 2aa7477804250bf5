#define BOOST_TEST_MODULE embedding
#include <boost/test/unit_test.hpp>

#include "vanillatiller/vanillatiller.h"

namespace vanillatiller {
namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

constexpr std::string_view kConfig = R"(version = 1
[[rank]]
name = "normal"
order = 0
[[region]]
name = "north"
[[failure_domain]]
name = "north-1"
region = "north"
[[service]]
name = "ledger"
slots = 2
[[service.method]]
name = "read"
rank = "normal"
idempotent = true
)";

MemberList Members() {
  MemberList members(2);
  for (size_t i = 0; i < members.size(); ++i) {
    members[i].vm = "vm-" + std::to_string(i);
    members[i].service = "ledger";
    members[i].failure_domain = "north-1";
    members[i].region = "north";
    members[i].incarnation = i + 1;
  }
  return members;
}

// Guards against a public header that does not suffice to carry one call from
// routing over admission, record and lost answer to its retry.
BOOST_AUTO_TEST_CASE(OneCallThroughThePublicHeader) {
  Findings findings;
  const auto config = LoadFleetConfig(kConfig, "config", &findings);
  BOOST_TEST_REQUIRE(config.has_value(), FormatFindings(findings));

  // The calling side picks a peer and takes a share of the extra attempts.
  const MemberList members = Members();
  const auto table = RoutingTable::Builder()
                         .Self(members[0])
                         .Members(members)
                         .Config(std::make_shared<const FleetConfig>(*config))
                         .Build(kStart);
  RoutingTable::Generator random{20261204};
  Reason reason;
  const auto first = table->Pick({"ledger", 0, {}}, kStart, random, &reason);
  BOOST_TEST_REQUIRE(first.has_value());
  const auto budget = ChainBudget::Create(config->chain.extra_attempts);
  const AttemptShare share = budget->TakeFirst(CalleeKind::kLeaf);
  BOOST_TEST(share.Count() == 0U);

  // The serving side admits and records the attempt.
  const auto admission =
      Admission::Builder().SetSlots(2).Build(kStart, &findings);
  BOOST_TEST_REQUIRE(admission != nullptr);
  const CallId call{{1, 2}};
  Work work;
  work.id = 1;
  work.shed_hash = ShedHash(RequestId{{3, 4}});
  work.deadline = kStart + std::chrono::seconds(1);
  work.method = "read";
  AdmissionActions actions;
  admission->Offer(work, kStart, &actions);
  BOOST_TEST_REQUIRE(actions.size() == 1U);
  BOOST_TEST(std::holds_alternative<Dispatch>(actions[0]));
  const Incarnation incarnation = first->member.incarnation;
  LedgerSettings ledger_settings;
  ledger_settings.incarnation = incarnation;
  ExecutionLedger ledger(ledger_settings);
  BOOST_TEST((ledger.Begin(call, incarnation, work.deadline, kStart) ==
              BeginResult::kRun));

  // The answer is lost; the call is idempotent, so it is tried elsewhere.
  const RetryPolicy policy{RetrySettings{}};
  const RetryDecision decision =
      policy.Decide({FailureKind::kAnswerLost, true},
                    {.idempotent = true, .deadline = work.deadline}, kStart,
                    [] { return 0.5; });
  BOOST_TEST((decision.action == RetryAction::kRetryElsewhere));
  EdgeBudget edge({}, kStart);
  BOOST_TEST(
      policy.TakeRetry(*budget, edge, CalleeKind::kLeaf, kStart).has_value());
  const std::vector<std::string> tried = {first->member.vm};
  const auto second =
      table->Pick({"ledger", 0, tried}, kStart, random, &reason);
  BOOST_TEST_REQUIRE(second.has_value());
  BOOST_TEST(second->member.vm != first->member.vm);
}

}  // namespace
}  // namespace vanillatiller
