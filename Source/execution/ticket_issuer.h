#ifndef VANILLATILLER_SOURCE_EXECUTION_TICKET_ISSUER_H_
#define VANILLATILLER_SOURCE_EXECUTION_TICKET_ISSUER_H_

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/base.h"

namespace vanillatiller {

// What a ticket says.
struct Ticket {
  // Peer address of the issuing node.
  std::string issuer;
  Incarnation incarnation = 0;
  // Unique within the incarnation.
  uint64_t sequence = 0;
  // On the issuer's clock.
  TimePoint expiry;

  bool operator==(const Ticket&) const = default;
};

enum class TicketStatus : uint8_t {
  kValid,
  // Issued by this incarnation, but past its expiry.
  kExpired,
  // Not a ticket of this format.
  kMalformed,
  // Names this incarnation but is not signed by it.
  kForged,
  // Names another issuer or another incarnation; its signature cannot be
  // checked here.
  kOtherIncarnation,
};

struct TicketCheck {
  TicketStatus status = TicketStatus::kMalformed;
  // Set unless malformed; only kValid and kExpired prove that it is authentic.
  Ticket ticket;
};

// Reads a ticket without checking its signature, as a node does that forwards
// a request to the issuer. Gives nullopt and kTicketInvalid if it is malformed.
std::optional<Ticket> ParseTicket(std::string_view text, Reason* reason);

// Issues and checks tickets. A non-idempotent request from a caller runs only
// under a ticket and only at its issuer. Thread-safe.
//
// A ticket is URL-safe base64 of a version byte, the incarnation, sequence and
// expiry as big-endian words, the issuer's address and an HMAC-SHA256
// (RFC 2104) truncated to 128 bits.
class TicketIssuer {
 public:
  // `key` has at least kMinKeySize random bytes that only this process knows.
  // Gives nullopt and kBadRequest for a shorter key, an incarnation of 0 or an
  // address that is empty or longer than kMaxAddressSize.
  static std::optional<TicketIssuer> Create(std::string_view address,
                                            Incarnation incarnation,
                                            std::string_view key,
                                            Duration lifetime, Reason* reason);

  TicketIssuer(TicketIssuer&& other) noexcept;

  static constexpr size_t kMinKeySize = 16;
  static constexpr size_t kMaxAddressSize = 255;

  // Text of a fresh ticket that expires `lifetime` after `now`.
  std::string Issue(TimePoint now);

  TicketCheck Verify(std::string_view text, TimePoint now) const;

 private:
  TicketIssuer(std::string_view address, Incarnation incarnation,
               std::string_view key, Duration lifetime);

  std::string m_address;
  Incarnation m_incarnation;
  std::string m_key;
  Duration m_lifetime;
  std::atomic<uint64_t> m_sequence{0};
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_EXECUTION_TICKET_ISSUER_H_
