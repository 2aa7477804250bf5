#include "vtstub/peer_socket.h"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

namespace vanillatiller {
namespace {

constexpr int kNotFound = -1;
constexpr int kMaxDescriptors = 8192;

bool IsConnectedTo(int descriptor, int port) {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&address), &length) !=
      0) {
    return false;
  }
  return address.sin_family == AF_INET && ntohs(address.sin_port) == port;
}

int FindDescriptor(int port) {
  // A thread serves one connection at a time, so consecutive requests usually
  // arrive on the same socket.
  thread_local int last_descriptor = kNotFound;
  if (last_descriptor != kNotFound && IsConnectedTo(last_descriptor, port)) {
    return last_descriptor;
  }
  for (int descriptor = 0; descriptor < kMaxDescriptors; ++descriptor) {
    if (!IsConnectedTo(descriptor, port)) continue;
    last_descriptor = descriptor;
    return descriptor;
  }
  return kNotFound;
}

}  // namespace

PeerSocket::PeerSocket(int client_port)
    : m_descriptor(FindDescriptor(client_port)) {}

bool PeerSocket::IsClosedByClient() const {
  if (m_descriptor == kNotFound) return false;
  pollfd poll_entry{m_descriptor, POLLRDHUP, 0};
  if (poll(&poll_entry, 1, 0) <= 0) return false;
  return (poll_entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}  // namespace vanillatiller
