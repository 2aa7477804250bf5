#ifndef VANILLATILLER_SOURCE_MEMBERSHIP_MESSAGES_H_
#define VANILLATILLER_SOURCE_MEMBERSHIP_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/base.h"
#include "membership/member.h"

namespace vanillatiller {

// What two nodes tell each other, in both directions.
struct ExchangeMessage {
  std::string from_vm;
  // The VM that a request is meant for. Another one, which has taken over the
  // address, ignores the message.
  std::string to_vm;
  MemberList updates;
  // Digest of the sender's member table.
  uint64_t member_digest = 0;
  // Asks for the entries of the buckets whose digests differ.
  bool want_members = false;
  // Digests of the parts of the table; empty unless tables are compared.
  std::vector<uint64_t> bucket_digests;
};

// Sends `message` to a peer and reports its answer as a ProbeResult.
struct SendProbe {
  uint64_t probe_id = 0;
  std::string vm;
  std::string address;
  // Use a new connection, because the present one may be silent.
  bool fresh_connection = false;
  Duration timeout{};
  ExchangeMessage message;
};

// Asks the peer at `via_address` to probe `target_address`.
struct SendIndirectProbe {
  uint64_t probe_id = 0;
  std::string via_vm;
  std::string via_address;
  std::string target_vm;
  std::string target_address;
  Duration timeout{};
};

// The member list to use for routing from now on, without failed members,
// ordered by VM name.
struct PublishTable {
  MemberList members;
};

using MembershipAction =
    std::variant<SendProbe, SendIndirectProbe, PublishTable>;
using MembershipActions = std::vector<MembershipAction>;

struct ProbeResult {
  uint64_t probe_id = 0;
  bool reached = false;
  // The peer's answer, or the target's entry from an indirect probe.
  std::optional<ExchangeMessage> answer;
};

struct ExchangeOutcome {
  ExchangeMessage answer;
  MembershipActions actions;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_MEMBERSHIP_MESSAGES_H_
