#ifndef VANILLATILLER_SOURCE_ROUTING_CONNECTION_MONITOR_H_
#define VANILLATILLER_SOURCE_ROUTING_CONNECTION_MONITOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"

namespace vanillatiller {

// Action to take for a connection on which no data is received.
struct ConnectionAction {
  enum class Kind : uint8_t {
    // Send a ping on the open connection and one on a new connection.
    kProbe,
    // Replace the open connection: it is silent, but the peer responds on a new
    // one. The answers of its calls count as lost, and the calls are fenced.
    kReplace,
    // The peer responds on neither connection.
    kUnreachable,
  };
  Kind kind;
  std::string address;
};

// Distinguishes a silent connection from a slow or unreachable peer. A
// connection becomes suspect when it has outstanding calls and received nothing
// for the silence timeout. The monitor then requests one ping on it and one on
// a new connection, and decides by the two results. Pings are answered by the
// peer's node and do not load its backend server.
//
// Not thread-safe.
class ConnectionMonitor {
 public:
  class Builder {
   public:
    // Time without progress after which a connection becomes suspect.
    Builder& SilenceTimeout(Duration time);
    // Minimum time between two probes of one peer.
    Builder& ProbeInterval(Duration time);
    ConnectionMonitor Build() const;

   private:
    friend class ConnectionMonitor;
    Duration m_silence_timeout = std::chrono::milliseconds(500);
    Duration m_probe_interval = std::chrono::seconds(2);
  };

  void OnSent(std::string_view address, TimePoint now);
  // An answer, or a reply to a ping on the open connection, was received.
  void OnProgress(std::string_view address, TimePoint now);
  // A call ended; does not count as progress.
  void OnEnded(std::string_view address);

  // Returns the probes that are due.
  std::vector<ConnectionAction> OnTick(TimePoint now);

  // Processes the result of a probe. Returns nullopt if the open connection
  // works and the peer is only slow.
  std::optional<ConnectionAction> OnProbeResult(std::string_view address,
                                                bool open_answered,
                                                bool new_answered,
                                                TimePoint now);

 private:
  struct Connection {
    uint32_t outstanding = 0;
    // Time of the last progress, or of the first send after an idle period.
    TimePoint progress_at;
    std::optional<TimePoint> probed_at;
    bool probing = false;
  };

  explicit ConnectionMonitor(const Builder& builder);

  Connection& Find(std::string_view address);

  Duration m_silence_timeout;
  Duration m_probe_interval;
  std::map<std::string, Connection, std::less<>> m_connections;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_ROUTING_CONNECTION_MONITOR_H_
