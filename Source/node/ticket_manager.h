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

// Issues this node's tickets and lets each be used by one request. Safe to use
// from several threads.
class TicketManager {
 public:
  // `address` is the peer address of this node.
  TicketManager(const std::string& address, Incarnation incarnation);

  // Either the right to run the request, or the answer to give instead.
  struct Entrance {
    // Set if the request may run; Complete() must follow.
    std::optional<uint64_t> sequence;
    CallAnswer answer;
  };

  std::string Issue(TimePoint now) { return m_issuer.Issue(now); }

  // True if this node issued the ticket or says so.
  bool IsIssuer(const Ticket& ticket) const {
    return ticket.issuer == m_address;
  }

  // Uses a ticket of this node for a request with `digest`. Waits until
  // `deadline` while the same request is running.
  Entrance Enter(std::string_view text, const Sha256Digest& digest,
                 TimePoint deadline, TimePoint now);

  // Keeps the answer for repeats and wakes those that wait for it.
  void Complete(uint64_t sequence, const CallAnswer& answer);

 private:
  Entrance EnterWithTicket(const Ticket& ticket, const Sha256Digest& digest,
                           TimePoint deadline, TimePoint now);

  const std::string m_address;
  TicketIssuer m_issuer;
  std::mutex m_mutex;
  std::condition_variable m_completed;
  TicketRecords m_records{TicketRecordsSettings{}};
};

// Digest of what a ticket is used for.
Sha256Digest RequestDigest(std::string_view service, std::string_view method,
                           std::string_view tenant, std::string_view body);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_TICKET_MANAGER_H_
