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

// What to do about connections on which nothing comes back.
struct ConnectionAction {
  enum class Kind : uint8_t {
    // Send a ping on the open connection and one on a new connection.
    kProbe,
    // The open connection is silent but the peer lives: replace it. The calls
    // in it end as lost and go through Fence.
    kReplace,
    // Neither connection answers.
    kUnreachable,
  };
  Kind kind;
  std::string address;
};

// Tells a silent connection from a slow or dead peer. A connection is doubted
// when it has calls outstanding and nothing came back on it for a while; then
// one ping goes out on it and one on a new connection, and the pair of results
// decides. Pings go to the peer's node and cost its backend server nothing.
//
// Not safe to use from several threads.
class ConnectionMonitor {
 public:
  class Builder {
   public:
    // Time without progress after which a connection is doubted.
    Builder& SilenceTimeout(Duration time);
    // Shortest time between two probes of one peer.
    Builder& ProbeInterval(Duration time);
    ConnectionMonitor Build() const;

   private:
    friend class ConnectionMonitor;
    Duration m_silence_timeout = std::chrono::milliseconds(500);
    Duration m_probe_interval = std::chrono::seconds(2);
  };

  void OnSent(std::string_view address, TimePoint now);
  // An answer came back, or a ping on the open connection did.
  void OnProgress(std::string_view address, TimePoint now);
  // A call ended without anything having come back.
  void OnEnded(std::string_view address);

  // Probes that are due.
  std::vector<ConnectionAction> OnTick(TimePoint now);

  // Result of a probe. nullopt if the connection is fine and the peer slow.
  std::optional<ConnectionAction> OnProbeResult(std::string_view address,
                                                bool open_answered,
                                                bool new_answered,
                                                TimePoint now);

 private:
  struct Connection {
    uint32_t outstanding = 0;
    // Last progress, or the first send after the connection was idle.
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
