#include "node/ticket_manager.h"

#include <openssl/rand.h>

#include <array>
#include <stdexcept>
#include <utility>

namespace vanillatiller {
namespace {

constexpr size_t kKeySize = 32;
constexpr std::chrono::seconds kTicketLifetime{60};

std::string GenerateKey() {
  std::array<unsigned char, kKeySize> key{};
  if (RAND_bytes(key.data(), static_cast<int>(key.size())) != 1) {
    throw std::runtime_error("RAND_bytes failed to generate the ticket key");
  }
  return std::string(key.begin(), key.end());
}

TicketIssuer MakeIssuer(const std::string& address, Incarnation incarnation) {
  Reason reason;
  auto issuer = TicketIssuer::Create(address, incarnation, GenerateKey(),
                                     kTicketLifetime, &reason);
  if (!issuer) throw std::runtime_error(reason.text);
  return std::move(*issuer);
}

CallAnswer DecodeStoredAnswer(const StoredAnswer& stored) {
  v1::Answer message;
  if (stored.payload.empty() || !message.ParseFromString(stored.payload)) {
    return UnknownOutcome(RefusalCode::kIncompleteAnswer,
                          "the answer to the original request was not stored");
  }
  return FromWire(message, CallId{});
}

CallAnswer InvalidTicketAnswer(TicketStatus status) {
  switch (status) {
    case TicketStatus::kOtherIncarnation:
      return UnknownOutcome(RefusalCode::kUnknownIncarnation,
                            "the issuer of the ticket has restarted");
    case TicketStatus::kForged:
      return NotRun(RefusalCode::kTicketInvalid,
                    "the ticket failed authentication");
    default:
      return NotRun(RefusalCode::kTicketInvalid, "the ticket is malformed");
  }
}

CallAnswer RejectedUseAnswer(TicketUse use) {
  switch (use) {
    case TicketUse::kRequestMismatch:
      return NotRun(RefusalCode::kTicketInvalid,
                    "the ticket was already used for a different request");
    case TicketUse::kFull:
      return NotRun(RefusalCode::kOverload, "too many tickets are in use");
    case TicketUse::kExpiredUnused:
      return NotRun(RefusalCode::kTicketExpired,
                    "the ticket expired before it was used");
    case TicketUse::kRecordExpired:
      return UnknownOutcome(
          RefusalCode::kTicketExpired,
          "the ticket expired; the record of its use may have been "
          "removed");
    default:
      return UnknownOutcome(RefusalCode::kDeadlineExceeded,
                            "the same request is still running");
  }
}

}  // namespace

TicketManager::TicketManager(const std::string& address,
                             Incarnation incarnation)
    : m_address(address), m_issuer(MakeIssuer(address, incarnation)) {}

TicketManager::ClaimResult TicketManager::Claim(std::string_view token,
                                                const Sha256Digest& digest,
                                                TimePoint deadline,
                                                TimePoint now) {
  const TicketCheck check = m_issuer.Verify(token, now);
  if (check.status != TicketStatus::kValid &&
      check.status != TicketStatus::kExpired) {
    return {std::nullopt, InvalidTicketAnswer(check.status)};
  }
  return ClaimVerified(check.ticket, digest, deadline, now);
}

TicketManager::ClaimResult TicketManager::ClaimVerified(
    const Ticket& ticket, const Sha256Digest& digest, TimePoint deadline,
    TimePoint now) {
  std::unique_lock lock(m_mutex);
  TicketUseResult result = m_records.Use(ticket, digest, now);
  while (result.use == TicketUse::kRunning && now < deadline) {
    m_completed.wait_for(lock, deadline - now);
    now = BootClock::now();
    result = m_records.Use(ticket, digest, now);
  }
  if (result.use == TicketUse::kRun) return {ticket.sequence, {}};
  if (result.use == TicketUse::kAnswered) {
    return {std::nullopt, DecodeStoredAnswer(*result.answer)};
  }
  return {std::nullopt, RejectedUseAnswer(result.use)};
}

void TicketManager::Complete(uint64_t sequence, const CallAnswer& answer) {
  v1::Answer message;
  ToWire(answer, CallId{}, &message);
  StoredAnswer stored = {answer.outcome, message.SerializeAsString()};
  {
    const std::lock_guard lock(m_mutex);
    m_records.Complete(sequence, std::move(stored));
  }
  m_completed.notify_all();
}

Sha256Digest RequestDigest(std::string_view service, std::string_view method,
                           std::string_view tenant, std::string_view body) {
  std::string bytes;
  for (const std::string_view part : {service, method, tenant}) {
    bytes.append(part).push_back('\0');
  }
  return Sha256(bytes.append(body));
}

}  // namespace vanillatiller
