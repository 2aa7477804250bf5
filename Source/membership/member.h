#ifndef VANILLATILLER_SOURCE_MEMBERSHIP_MEMBER_H_
#define VANILLATILLER_SOURCE_MEMBERSHIP_MEMBER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/base.h"

namespace vanillatiller {

// The numeric values are part of the wire format.
enum class MemberState : uint8_t {
  kLive = 1,
  kSuspect = 2,
  kLeaving = 3,
  kFailed = 4,
};

// A VM, the node that runs on it and its backend server.
struct Member {
  std::string vm;
  std::string service;
  // IP address and port of the node's peer listener.
  std::string peer_address;
  std::string failure_domain;
  std::string region;
  // 0 until an update from the node itself has been received; an entry that
  // only the VM list provided has no incarnation.
  Incarnation incarnation = 0;
  MemberState state = MemberState::kLive;
  // Version of the entry within the incarnation.
  uint64_t sequence = 0;

  bool operator==(const Member&) const = default;
};

using MemberList = std::vector<Member>;

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_MEMBERSHIP_MEMBER_H_
