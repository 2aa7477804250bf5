// Fuzz target for the ticket parser, whose input is the X-Vt-Ticket header of a
// caller.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string_view>

#include "execution/execution.h"

namespace {

using vanillatiller::Reason;
using vanillatiller::RefusalCode;
using vanillatiller::TicketCheck;
using vanillatiller::TicketIssuer;
using vanillatiller::TicketStatus;
using vanillatiller::TimePoint;

constexpr std::string_view kKey = "key of this fuzzer only";
constexpr TimePoint kNow{std::chrono::seconds(1000)};

void Require(bool condition) {
  if (!condition) std::abort();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  Reason reason;
  static const auto issuer = TicketIssuer::Create(
      "127.0.0.1:1", 7, kKey, std::chrono::seconds(60), &reason);
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const TicketCheck check = issuer->Verify(text, kNow);
  const auto read = vanillatiller::ParseTicket(text, &reason);
  Require(read.has_value() == (check.status != TicketStatus::kMalformed));
  if (!read) {
    Require(reason.code == RefusalCode::kTicketInvalid);
    return 0;
  }
  Require(*read == check.ticket);
  // The fuzzer does not compute HMACs, so no generated ticket is authentic.
  Require(check.status != TicketStatus::kValid);
  Require(check.status != TicketStatus::kExpired);
  return 0;
}
