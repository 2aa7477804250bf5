#include "node/ticket_manager.h"

#include <openssl/rand.h>

#include <array>
#include <stdexcept>
#include <utility>

namespace vanillatiller {
namespace {

constexpr size_t kKeySize = 32;
constexpr std::chrono::seconds kTicketLifetime{60};

std::string NewKey() {
  std::array<unsigned char, kKeySize> key{};
  if (RAND_bytes(key.data(), static_cast<int>(key.size())) != 1) {
    throw std::runtime_error("no random bytes for the ticket key");
  }
  return std::string(key.begin(), key.end());
}

TicketIssuer MakeIssuer(const std::string& address, Incarnation incarnation) {
  Reason reason;
  auto issuer = TicketIssuer::Create(address, incarnation, NewKey(),
                                     kTicketLifetime, &reason);
  if (!issuer) throw std::runtime_error(reason.text);
  return std::move(*issuer);
}

CallAnswer KeptToAnswer(const StoredAnswer& kept) {
  v1::Answer message;
  if (kept.payload.empty() || !message.ParseFromString(kept.payload)) {
    return UnknownOutcome(RefusalCode::kIncompleteAnswer,
                          "the answer of the first request was not kept");
  }
  return FromWire(message, CallId{});
}

CallAnswer RefuseTicket(TicketStatus status) {
  switch (status) {
    case TicketStatus::kOtherIncarnation:
      return UnknownOutcome(RefusalCode::kUnknownIncarnation,
                            "the issuer of the ticket has restarted");
    case TicketStatus::kForged:
      return NotRun(RefusalCode::kTicketInvalid, "the ticket is forged");
    default:
      return NotRun(RefusalCode::kTicketInvalid, "the ticket is malformed");
  }
}

CallAnswer RefuseUse(TicketUse use) {
  switch (use) {
    case TicketUse::kRequestMismatch:
      return NotRun(RefusalCode::kTicketInvalid,
                    "the ticket was used by another request");
    case TicketUse::kFull:
      return NotRun(RefusalCode::kOverload, "too many tickets are in use");
    case TicketUse::kExpiredUnused:
      return NotRun(RefusalCode::kTicketExpired,
                    "the ticket expired before it was used");
    case TicketUse::kRecordExpired:
      return UnknownOutcome(RefusalCode::kTicketExpired,
                            "the ticket expired; its use may be forgotten");
    default:
      return UnknownOutcome(RefusalCode::kDeadlineExceeded,
                            "the same request is still running");
  }
}

}  // namespace

TicketManager::TicketManager(const std::string& address,
                             Incarnation incarnation)
    : m_address(address), m_issuer(MakeIssuer(address, incarnation)) {}

TicketManager::Entrance TicketManager::Enter(std::string_view text,
                                             const Sha256Digest& digest,
                                             TimePoint deadline,
                                             TimePoint now) {
  const TicketCheck check = m_issuer.Verify(text, now);
  if (check.status != TicketStatus::kValid &&
      check.status != TicketStatus::kExpired) {
    return {std::nullopt, RefuseTicket(check.status)};
  }
  return EnterWithTicket(check.ticket, digest, deadline, now);
}

TicketManager::Entrance TicketManager::EnterWithTicket(
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
    return {std::nullopt, KeptToAnswer(*result.answer)};
  }
  return {std::nullopt, RefuseUse(result.use)};
}

void TicketManager::Complete(uint64_t sequence, const CallAnswer& answer) {
  v1::Answer message;
  ToWire(answer, CallId{}, &message);
  StoredAnswer kept = {answer.outcome, message.SerializeAsString()};
  {
    const std::lock_guard lock(m_mutex);
    m_records.Complete(sequence, std::move(kept));
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
