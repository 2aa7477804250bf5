#ifndef VANILLATILLER_SOURCE_NODE_TICKET_MANAGER_H_
#define VANILLATILLER_SOURCE_NODE_TICKET_MANAGER_H_

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "base/base.h"
#include "execution/execution.h"
#include "node/call_answer.h"

namespace vanillatiller {

// Issues the tickets of this node and ensures that each is used by at most one
// request. Thread-safe.
class TicketManager {
 public:
  // `address` is the peer address of this node.
  TicketManager(const std::string& address, Incarnation incarnation);

  // Permission to run a request, or the answer to return without running it.
  struct ClaimResult {
    // Set if the request may run. The caller must then call Complete().
    std::optional<uint64_t> sequence;
    CallAnswer answer;
  };

  std::string Issue(TimePoint now) { return m_issuer.Issue(now); }

  // Returns true if the ticket names this node as its issuer. Does not verify
  // the ticket.
  bool IsIssuer(const Ticket& ticket) const {
    return ticket.issuer == m_address;
  }

  // Claims a ticket of this node for the request with `digest`. If the same
  // request is already running, waits for it until `deadline`.
  ClaimResult Claim(std::string_view token, const Sha256Digest& digest,
                    TimePoint deadline, TimePoint now);

  // Stores the answer for duplicate requests and wakes those that wait for it.
  void Complete(uint64_t sequence, const CallAnswer& answer);

 private:
  ClaimResult ClaimVerified(const Ticket& ticket, const Sha256Digest& digest,
                            TimePoint deadline, TimePoint now);

  const std::string m_address;
  TicketIssuer m_issuer;
  std::mutex m_mutex;
  std::condition_variable m_completed;
  TicketRecords m_records{TicketRecordsSettings{}};
};

// Returns the digest that binds a ticket to a request.
Sha256Digest RequestDigest(std::string_view service, std::string_view method,
                           std::string_view tenant, std::string_view body);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_TICKET_MANAGER_H_
