#include "node/control_messages.h"

#include <algorithm>
#include <string>
#include <string_view>

namespace vanillatiller {
namespace {

std::string_view DigestBytes(const Sha256Digest& digest) {
  return {reinterpret_cast<const char*>(digest.data()), digest.size()};
}

Sha256Digest ParseDigest(std::string_view bytes) {
  Sha256Digest digest{};
  if (bytes.size() == digest.size()) {
    std::copy(bytes.begin(), bytes.end(), digest.begin());
  }
  return digest;
}

// ExchangeRequest and ExchangeAnswer share these fields but have no common
// interface for them.
template <typename Message>
void ExchangeToWire(const ExchangeMessage& exchange, Message* message) {
  message->set_from_vm(exchange.from_vm);
  for (const Member& update : exchange.updates) {
    ToWire(update, message->add_updates());
  }
  message->set_member_digest(exchange.member_digest);
  message->set_want_members(exchange.want_members);
  for (const uint64_t digest : exchange.bucket_digests) {
    message->add_bucket_digests(digest);
  }
}

template <typename Message>
ExchangeMessage ExchangeFromWire(const Message& message) {
  ExchangeMessage exchange;
  exchange.from_vm = message.from_vm();
  for (const auto& update : message.updates()) {
    exchange.updates.push_back(FromWire(update));
  }
  exchange.member_digest = message.member_digest();
  exchange.want_members = message.want_members();
  exchange.bucket_digests.assign(message.bucket_digests().begin(),
                                 message.bucket_digests().end());
  return exchange;
}

}  // namespace

void ToWire(const Member& member, v1::MemberUpdate* message) {
  message->set_vm(member.vm);
  message->set_service(member.service);
  message->set_peer_address(member.peer_address);
  message->set_failure_domain(member.failure_domain);
  message->set_region(member.region);
  message->set_incarnation(member.incarnation);
  message->set_state(static_cast<uint32_t>(member.state));
  message->set_sequence(member.sequence);
}

Member FromWire(const v1::MemberUpdate& message) {
  Member member;
  member.vm = message.vm();
  member.service = message.service();
  member.peer_address = message.peer_address();
  member.failure_domain = message.failure_domain();
  member.region = message.region();
  member.incarnation = message.incarnation();
  // A value outside the enumeration is converted to 0, which Membership
  // rejects.
  const uint32_t last = static_cast<uint32_t>(MemberState::kFailed);
  const uint32_t state = message.state() > last ? 0 : message.state();
  member.state = static_cast<MemberState>(state);
  member.sequence = message.sequence();
  return member;
}

void ToWire(const ConfigStamp& stamp, bool confirmed,
            v1::ConfigVersion* message) {
  message->set_version(stamp.version);
  message->set_confirmed(confirmed);
  if (stamp.version != 0) {
    message->set_digest(std::string(DigestBytes(stamp.digest)));
  }
}

ConfigStamp FromWire(const v1::ConfigVersion& message) {
  return {message.version(), ParseDigest(message.digest())};
}

void ToWire(const ExchangeMessage& exchange, v1::ExchangeRequest* message) {
  ExchangeToWire(exchange, message);
  message->set_to_vm(exchange.to_vm);
}

void ToWire(const ExchangeMessage& exchange, v1::ExchangeAnswer* message) {
  ExchangeToWire(exchange, message);
}

ExchangeMessage FromWire(const v1::ExchangeRequest& message) {
  ExchangeMessage exchange = ExchangeFromWire(message);
  exchange.to_vm = message.to_vm();
  return exchange;
}

ExchangeMessage FromWire(const v1::ExchangeAnswer& message) {
  return ExchangeFromWire(message);
}

void ToWire(const FetchAnswer& answer, v1::FetchConfigAnswer* message) {
  ToWire(answer.stamp, answer.confirmed, message->mutable_config());
  for (const std::string& delta : answer.deltas) message->add_notes(delta);
  message->set_value(answer.value);
}

FetchAnswer FromWire(const v1::FetchConfigAnswer& message) {
  FetchAnswer answer;
  answer.stamp = FromWire(message.config());
  answer.confirmed = message.config().confirmed();
  answer.deltas.assign(message.notes().begin(), message.notes().end());
  answer.value = message.value();
  return answer;
}

void ToWire(const FetchRequest& request, v1::FetchConfigRequest* message) {
  message->set_have_version(request.have.version);
  message->set_have_digest(std::string(DigestBytes(request.have.digest)));
}

FetchRequest FromWire(const v1::FetchConfigRequest& message) {
  return {{message.have_version(), ParseDigest(message.have_digest())}};
}

}  // namespace vanillatiller
