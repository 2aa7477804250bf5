#include "node/peer_channels.h"

#include <utility>

namespace vanillatiller {
namespace {

// gRPC's default of 120 s would keep a restarted node out for too long.
constexpr int kMaxReconnectBackoffMs = 1000;
constexpr int kMinReconnectBackoffMs = 100;

}  // namespace

PeerChannels::PeerChannels(
    std::shared_ptr<grpc::ChannelCredentials> credentials)
    : m_credentials(std::move(credentials)) {}

std::shared_ptr<v1::Peer::Stub> PeerChannels::Get(const std::string& address) {
  const std::lock_guard lock(m_mutex);
  auto& stub = m_stubs[address];
  if (!stub) stub = Open(address);
  return stub;
}

std::shared_ptr<v1::Peer::Stub> PeerChannels::OpenSeparate(
    const std::string& address) {
  const std::lock_guard lock(m_mutex);
  return Open(address);
}

void PeerChannels::Replace(const std::string& address) {
  const std::lock_guard lock(m_mutex);
  m_stubs.erase(address);
}

std::shared_ptr<v1::Peer::Stub> PeerChannels::Open(const std::string& address) {
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS,
                   kMinReconnectBackoffMs);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kMinReconnectBackoffMs);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectBackoffMs);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetInt("vanillatiller.generation", ++m_generation);
  return v1::Peer::NewStub(
      grpc::CreateCustomChannel(address, m_credentials, arguments));
}

}  // namespace vanillatiller
