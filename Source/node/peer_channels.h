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

// Open gRPC channels to other nodes, by address. Safe to use from several
// threads.
class PeerChannels {
 public:
  explicit PeerChannels(std::shared_ptr<grpc::ChannelCredentials> credentials);

  // Stub for the node at `address` ("IP:PORT"); opens a channel on first use.
  std::shared_ptr<v1::Peer::Stub> Get(const std::string& address);

  // Stub on a connection of its own, for a probe.
  std::shared_ptr<v1::Peer::Stub> OpenDedicated(const std::string& address);

  // Waits until the channel is connected. False if the connection fails or
  // `timeout` passes: then nothing that is not sent yet has left this node.
  bool WaitUntilConnected(const std::string& address, Duration timeout);

  // Forgets the channel, so that the next use opens a new connection.
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
  // Makes each channel's arguments unique, so that gRPC does not share one
  // connection between an old and a new channel.
  int m_generation = 0;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_PEER_CHANNELS_H_
