#define BOOST_TEST_MODULE control_messages
#include "node/control_messages.h"

#include <boost/test/unit_test.hpp>

#include "fleetconfig/fleetconfig.h"
#include "node/fleet_config_validator.h"
#include "node/note_codec.h"

namespace vanillatiller {
namespace {

constexpr std::string_view kBase = R"(version = 7
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
)";

std::string MakeChangedConfig() {
  std::string text(kBase);
  text.replace(text.find("= 7"), 3, "= 8");
  text.replace(text.find("= 70"), 4, "= 80");
  return text;
}

// Guards against fields that are lost in the conversion to or from the wire
// format.
BOOST_AUTO_TEST_CASE(ExchangeRoundTrip) {
  ExchangeMessage message;
  message.from_vm = "vm-1";
  message.to_vm = "vm-3";
  message.updates = {{"vm-2", "orders", "10.0.0.2:1", "north-1", "north", 9,
                      MemberState::kLeaving, 4}};
  message.member_digest = 17;
  message.want_members = true;
  message.bucket_digests = {1, 2, 3};
  v1::ExchangeRequest wire;
  ToWire(message, &wire);
  const ExchangeMessage back = FromWire(wire);
  BOOST_TEST(back.from_vm == message.from_vm);
  BOOST_TEST((back.updates == message.updates));
  BOOST_TEST(back.member_digest == message.member_digest);
  BOOST_TEST(back.to_vm == message.to_vm);
  BOOST_TEST(back.want_members);
  BOOST_TEST(back.bucket_digests == message.bucket_digests);
}

// Guards against a state of a later version that is mistaken for a known one by
// truncation to 8 bits (257 becomes 1), and against digests of a wrong length.
BOOST_AUTO_TEST_CASE(InvalidValuesFromPeers) {
  v1::MemberUpdate update;
  update.set_state(257);
  BOOST_TEST(static_cast<int>(FromWire(update).state) == 0);
  v1::ConfigVersion version;
  version.set_version(3);
  version.set_digest("short");
  BOOST_TEST((FromWire(version).digest == Sha256Digest{}));
}

// Guards against a delta that yields a different text than the canonical value.
// Digests would then differ and peers would report a conflict.
BOOST_AUTO_TEST_CASE(NoteYieldsCanonicalValue) {
  const FleetConfigValidator validator;
  const NoteCodec codec;
  Reason reason;
  const auto base = validator.Validate(kBase, &reason);
  BOOST_TEST_REQUIRE(base.has_value(), reason.text);
  const auto value = validator.Validate(MakeChangedConfig(), &reason);
  BOOST_TEST_REQUIRE(value.has_value(), reason.text);
  BOOST_TEST(value->version == 8U);
  const auto note = codec.Diff(base->text, value->text);
  BOOST_TEST_REQUIRE(note.has_value());
  const auto applied = codec.Apply(base->text, *note);
  BOOST_TEST_REQUIRE(applied.has_value());
  BOOST_TEST(*applied == value->text);
  BOOST_TEST(!codec.Apply(value->text, *note).has_value());
}

// Guards against an invalid value, or one with version 0, that is put in force.
BOOST_AUTO_TEST_CASE(InvalidValuesAreRejected) {
  const FleetConfigValidator validator;
  std::string zero(kBase);
  zero.replace(zero.find("= 7"), 3, "= 0");
  std::string unknown_rank(kBase);
  unknown_rank.replace(unknown_rank.find("rank = \"urgent"), 14,
                       "rank = \"nobody");
  for (const std::string& text : {std::string("["), zero, unknown_rank}) {
    Reason reason;
    BOOST_TEST(!validator.Validate(text, &reason).has_value());
    BOOST_TEST(!reason.text.empty());
  }
}

}  // namespace
}  // namespace vanillatiller
