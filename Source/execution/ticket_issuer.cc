#include "execution/ticket_issuer.h"

#include <openssl/crypto.h>

#include <utility>

#include "absl/strings/escaping.h"

namespace vanillatiller {
namespace {

constexpr char kVersion = 1;
constexpr size_t kUint64Size = 8;
constexpr size_t kMacSize = 16;
// Version, incarnation, sequence and expiry.
constexpr size_t kFixedSize = 1 + 3 * kUint64Size;
constexpr size_t kMaxBytes =
    kFixedSize + TicketIssuer::kMaxAddressSize + kMacSize;
// Base64 encodes three bytes as four characters.
constexpr size_t kMaxTextSize = (kMaxBytes + 2) / 3 * 4;

void AppendUint64(uint64_t value, std::string* bytes) {
  for (int shift = 56; shift >= 0; shift -= 8) {
    bytes->push_back(static_cast<char>(value >> shift));
  }
}

uint64_t ReadUint64(std::string_view bytes) {
  uint64_t value = 0;
  for (size_t i = 0; i < kUint64Size; ++i) {
    value = value << 8 | static_cast<uint8_t>(bytes[i]);
  }
  return value;
}

std::string Encode(const Ticket& ticket) {
  std::string bytes(1, kVersion);
  AppendUint64(ticket.incarnation, &bytes);
  AppendUint64(ticket.sequence, &bytes);
  AppendUint64(static_cast<uint64_t>(ticket.expiry.time_since_epoch().count()),
               &bytes);
  bytes += ticket.issuer;
  return bytes;
}

std::string Mac(std::string_view key, std::string_view bytes) {
  const Sha256Digest digest = HmacSha256(key, bytes);
  return std::string(reinterpret_cast<const char*>(digest.data()), kMacSize);
}

// Decodes the text of a ticket. Accepts only the canonical encoding that
// Issue() produces, because base64 can encode the same bytes in several ways.
std::optional<std::string> Decode(std::string_view text) {
  if (text.size() > kMaxTextSize) return std::nullopt;
  const absl::string_view view(text.data(), text.size());
  std::string bytes;
  if (!absl::WebSafeBase64Unescape(view, &bytes)) return std::nullopt;
  if (bytes.size() <= kFixedSize + kMacSize || bytes.size() > kMaxBytes ||
      bytes[0] != kVersion || absl::WebSafeBase64Escape(bytes) != view) {
    return std::nullopt;
  }
  return bytes;
}

Ticket ParseBytes(std::string_view bytes) {
  Ticket ticket;
  ticket.incarnation = ReadUint64(bytes.substr(1));
  ticket.sequence = ReadUint64(bytes.substr(1 + kUint64Size));
  ticket.expiry = TimePoint(Duration(
      static_cast<int64_t>(ReadUint64(bytes.substr(1 + 2 * kUint64Size)))));
  ticket.issuer =
      bytes.substr(kFixedSize, bytes.size() - kFixedSize - kMacSize);
  return ticket;
}

}  // namespace

std::optional<Ticket> ParseTicket(std::string_view text, Reason* reason) {
  const std::optional<std::string> bytes = Decode(text);
  if (!bytes) {
    *reason = {RefusalCode::kTicketInvalid, "the ticket is malformed"};
    return std::nullopt;
  }
  return ParseBytes(*bytes);
}

std::optional<TicketIssuer> TicketIssuer::Create(std::string_view address,
                                                 Incarnation incarnation,
                                                 std::string_view key,
                                                 Duration lifetime,
                                                 Reason* reason) {
  if (key.size() < kMinKeySize || incarnation == 0 || address.empty() ||
      address.size() > kMaxAddressSize) {
    *reason = {RefusalCode::kBadRequest,
               "a ticket issuer requires an address of 1 to 255 bytes, a "
               "nonzero incarnation and a key of at least 16 bytes"};
    return std::nullopt;
  }
  return TicketIssuer(address, incarnation, key, lifetime);
}

TicketIssuer::TicketIssuer(std::string_view address, Incarnation incarnation,
                           std::string_view key, Duration lifetime)
    : m_address(address),
      m_incarnation(incarnation),
      m_key(key),
      m_lifetime(lifetime) {}

TicketIssuer::TicketIssuer(TicketIssuer&& other) noexcept
    : m_address(std::move(other.m_address)),
      m_incarnation(other.m_incarnation),
      m_key(std::move(other.m_key)),
      m_lifetime(other.m_lifetime),
      m_sequence(other.m_sequence.load()) {}

std::string TicketIssuer::Issue(TimePoint now) {
  Ticket ticket;
  ticket.issuer = m_address;
  ticket.incarnation = m_incarnation;
  ticket.sequence = m_sequence.fetch_add(1) + 1;
  ticket.expiry = now + m_lifetime;
  std::string bytes = Encode(ticket);
  bytes += Mac(m_key, bytes);
  return absl::WebSafeBase64Escape(bytes);
}

TicketCheck TicketIssuer::Verify(std::string_view text, TimePoint now) const {
  const std::optional<std::string> bytes = Decode(text);
  if (!bytes) return {TicketStatus::kMalformed, {}};
  const Ticket ticket = ParseBytes(*bytes);
  if (ticket.issuer != m_address || ticket.incarnation != m_incarnation) {
    return {TicketStatus::kOtherIncarnation, ticket};
  }
  const size_t signed_size = bytes->size() - kMacSize;
  const std::string_view all_bytes = *bytes;
  const std::string mac = Mac(m_key, all_bytes.substr(0, signed_size));
  if (CRYPTO_memcmp(mac.data(), bytes->data() + signed_size, kMacSize) != 0) {
    return {TicketStatus::kForged, ticket};
  }
  if (ticket.expiry < now) return {TicketStatus::kExpired, ticket};
  return {TicketStatus::kValid, ticket};
}

}  // namespace vanillatiller
