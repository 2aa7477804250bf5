#ifndef VANILLATILLER_SOURCE_NODE_PEER_CHANNELS_H_
#define VANILLATILLER_SOURCE_NODE_PEER_CHANNELS_H_

#include <grpcpp/grpcpp.h>

#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

#include "base/base.h"
#include "peer.grpc.pb.h"

namespace vanillatiller {

// Cache of gRPC channels to other nodes, by address. Thread-safe.
class PeerChannels {
 public:
  explicit PeerChannels(std::shared_ptr<grpc::ChannelCredentials> credentials);

  // Returns a stub for the node at `address` ("IP:PORT"). Opens a channel on
  // first use.
  std::shared_ptr<v1::Peer::Stub> Get(const std::string& address);

  // Returns a stub on a new connection that is not shared, for example for a
  // probe.
  std::shared_ptr<v1::Peer::Stub> OpenDedicated(const std::string& address);

  // Waits until the channel is connected. Returns false if connecting fails or
  // `timeout` elapses. A call that was not started before then has sent nothing
  // to the peer.
  bool WaitUntilConnected(const std::string& address, Duration timeout);

  // Removes the channel, so that the next use opens a new connection. Stubs
  // that are in use keep the old one open.
  void Remove(const std::string& address);

 private:
  struct Connection {
    std::shared_ptr<grpc::Channel> channel;
    std::shared_ptr<v1::Peer::Stub> stub;
  };

  Connection& GetLocked(const std::string& address);
  Connection Open(const std::string& address);

  const std::shared_ptr<grpc::ChannelCredentials> m_credentials;
  std::mutex m_mutex;
  std::unordered_map<std::string, Connection> m_connections;
  // Passed as a channel argument. gRPC shares connections between channels with
  // equal arguments; a unique value prevents a new channel from reusing the
  // connection of an old one.
  int m_generation = 0;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_PEER_CHANNELS_H_
