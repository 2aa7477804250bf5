#ifndef VANILLATILLER_SOURCE_MEMBERSHIP_MEMBER_H_
#define VANILLATILLER_SOURCE_MEMBERSHIP_MEMBER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/base.h"

namespace vanillatiller {

// The values travel between nodes and keep their numbers.
enum class MemberState : uint8_t {
  kLive = 1,
  kSuspect = 2,
  kLeaving = 3,
  kFailed = 4,
};

// One VM with its node and its backend server.
struct Member {
  std::string vm;
  std::string service;
  // IP number and port of the node's peer listener.
  std::string peer_address;
  std::string failure_domain;
  std::string region;
  // 0 until the node itself was heard of.
  Incarnation incarnation = 0;
  MemberState state = MemberState::kLive;
  // Version of this entry within the incarnation.
  uint64_t sequence = 0;

  bool operator==(const Member&) const = default;
};

using MemberList = std::vector<Member>;

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_MEMBERSHIP_MEMBER_H_
