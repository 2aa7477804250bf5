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

// The payload of an exchange between two nodes; request and answer have the
// same form.
struct ExchangeMessage {
  std::string from_vm;
  // The VM that a request is addressed to. A different VM that now uses the
  // address ignores the message.
  std::string to_vm;
  MemberList updates;
  // Digest of the sender's member table.
  uint64_t member_digest = 0;
  // Requests the entries of the buckets whose digests differ.
  bool want_members = false;
  // Digests of the table's buckets; empty unless tables are compared.
  std::vector<uint64_t> bucket_digests;
};

// Sends `message` to a peer and reports its answer as a ProbeResult.
struct SendProbe {
  uint64_t probe_id = 0;
  std::string vm;
  std::string address;
  // Replace the current connection, which may have stopped delivering data.
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

// Replaces the member list used for routing. The list is ordered by VM name and
// has no failed members.
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
