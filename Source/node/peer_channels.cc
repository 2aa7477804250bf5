#include "node/peer_channels.h"

#include <utility>

namespace vanillatiller {
namespace {

// With gRPC's default maximum of 120 s, a restarted node would remain
// disconnected for too long.
constexpr int kMaxReconnectBackoffMs = 1000;
constexpr int kMinReconnectBackoffMs = 100;
// gRPC uses the minimum reconnect backoff as the timeout of one connection
// attempt. A shorter timeout fails for peers that are only slow, for example on
// a busy VM.
constexpr int kConnectAttemptMs = 1000;

}  // namespace

PeerChannels::PeerChannels(
    std::shared_ptr<grpc::ChannelCredentials> credentials)
    : m_credentials(std::move(credentials)) {}

std::shared_ptr<v1::Peer::Stub> PeerChannels::Get(const std::string& address) {
  const std::lock_guard lock(m_mutex);
  return GetLocked(address).stub;
}

std::shared_ptr<v1::Peer::Stub> PeerChannels::OpenDedicated(
    const std::string& address) {
  const std::lock_guard lock(m_mutex);
  return Open(address).stub;
}

bool PeerChannels::WaitUntilConnected(const std::string& address,
                                      Duration timeout) {
  std::shared_ptr<grpc::Channel> channel;
  {
    const std::lock_guard lock(m_mutex);
    channel = GetLocked(address).channel;
  }
  const auto deadline =
      std::chrono::system_clock::now() +
      std::chrono::duration_cast<std::chrono::system_clock::duration>(timeout);
  while (true) {
    const grpc_connectivity_state state = channel->GetState(true);
    if (state == GRPC_CHANNEL_READY) return true;
    if (state == GRPC_CHANNEL_TRANSIENT_FAILURE ||
        state == GRPC_CHANNEL_SHUTDOWN) {
      return false;
    }
    if (!channel->WaitForStateChange(state, deadline)) return false;
  }
}

void PeerChannels::Remove(const std::string& address) {
  const std::lock_guard lock(m_mutex);
  m_connections.erase(address);
}

PeerChannels::Connection& PeerChannels::GetLocked(const std::string& address) {
  Connection& connection = m_connections[address];
  if (!connection.stub) connection = Open(address);
  return connection;
}

PeerChannels::Connection PeerChannels::Open(const std::string& address) {
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS,
                   kMinReconnectBackoffMs);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kConnectAttemptMs);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectBackoffMs);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  // A refusal proves that a call was not run only if the call was delivered at
  // most once, so gRPC must not retry it transparently.
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  arguments.SetInt("vanillatiller.generation", ++m_generation);
  Connection connection;
  connection.channel =
      grpc::CreateCustomChannel(address, m_credentials, arguments);
  connection.stub = v1::Peer::NewStub(connection.channel);
  return connection;
}

}  // namespace vanillatiller
