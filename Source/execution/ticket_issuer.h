#ifndef VANILLATILLER_SOURCE_EXECUTION_TICKET_ISSUER_H_
#define VANILLATILLER_SOURCE_EXECUTION_TICKET_ISSUER_H_

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/base.h"

namespace vanillatiller {

// Contents of a ticket.
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
  // Issued by this incarnation, but expired.
  kExpired,
  // The text is not in the ticket format.
  kMalformed,
  // Names this incarnation, but the signature does not match.
  kForged,
  // Names another issuer or another incarnation; its signature cannot be
  // checked here.
  kOtherIncarnation,
};

struct TicketCheck {
  TicketStatus status = TicketStatus::kMalformed;
  // Set unless the status is kMalformed; authenticated only if it is kValid or
  // kExpired.
  Ticket ticket;
};

// Parses a ticket without checking its signature, for nodes that forward the
// request to the issuer. Returns nullopt and kTicketInvalid if it is malformed.
std::optional<Ticket> ParseTicket(std::string_view text, Reason* reason);

// Issues and verifies tickets. A non-idempotent request from a caller runs only
// with a ticket and only at the node that issued it. Thread-safe.
//
// A ticket is the URL-safe base64 encoding of a version byte, the incarnation,
// sequence and expiry as big-endian 64-bit integers, the issuer's address and
// an HMAC-SHA256 (RFC 2104) truncated to 128 bits.
class TicketIssuer {
 public:
  // `key` must be at least kMinKeySize random bytes known only to this process.
  // Returns nullopt and kBadRequest for a shorter key, an incarnation of 0 or
  // an address that is empty or longer than kMaxAddressSize.
  static std::optional<TicketIssuer> Create(std::string_view address,
                                            Incarnation incarnation,
                                            std::string_view key,
                                            Duration lifetime, Reason* reason);

  TicketIssuer(TicketIssuer&& other) noexcept;

  static constexpr size_t kMinKeySize = 16;
  static constexpr size_t kMaxAddressSize = 255;

  // Returns the text of a new ticket that expires `lifetime` after `now`.
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
