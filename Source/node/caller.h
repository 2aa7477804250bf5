#ifndef VANILLATILLER_SOURCE_NODE_CALLER_H_
#define VANILLATILLER_SOURCE_NODE_CALLER_H_

#include <optional>
#include <string>

#include "base/base.h"
#include "metrics/metrics.h"
#include "node/call_answer.h"
#include "node/callee.h"
#include "node/cancellation.h"
#include "node/fleet_view.h"
#include "node/id_source.h"
#include "node/peer_channels.h"
#include "node/peer_router.h"
#include "node/settings.h"

namespace vanillatiller {

// The calling side of a node: picks a node of the called service and makes the
// attempts of one call.
class Caller {
 public:
  struct Parts {
    const NodeSettings& settings;
    const FleetView& view;
    IdSource& ids;
    PeerChannels& channels;
    PeerRouter& router;
    // Serves attempts whose chosen node is this one.
    Callee& callee;
    MetricsRegistry& metrics;
  };

  explicit Caller(const Parts& parts);

  // Makes the call and blocks until it is answered, its deadline passes or
  // `cancellation` fires. context.call is drawn anew for each attempt.
  CallAnswer Call(CallContext context, const std::string& body,
                  Cancellation& cancellation, TimePoint now);

 private:
  // Makes one attempt and records it; `is_first` is false for a repetition.
  CallAnswer RecordedAttempt(const PeerChoice& choice,
                             const CallContext& context,
                             const std::string& body,
                             Cancellation& cancellation, bool is_first,
                             TimePoint now);
  CallAnswer Attempt(const PeerChoice& choice, const CallContext& context,
                     const std::string& body, Cancellation& cancellation,
                     TimePoint now);
  CallAnswer AttemptLocal(const CallContext& context, const std::string& body,
                          Cancellation& cancellation, TimePoint now);
  CallAnswer AttemptRemote(const PeerChoice& choice, const CallContext& context,
                           const std::string& body, Cancellation& cancellation,
                           TimePoint now);

  const NodeSettings& m_settings;
  IdSource& m_ids;
  PeerChannels& m_channels;
  PeerRouter& m_router;
  Callee& m_callee;
  MetricsRegistry& m_metrics;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_CALLER_H_
