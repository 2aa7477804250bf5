#ifndef VANILLATILLER_SOURCE_VTSTUB_PEER_SOCKET_H_
#define VANILLATILLER_SOURCE_VTSTUB_PEER_SOCKET_H_

namespace vanillatiller {

// The accepted socket of the request that the current thread serves.
// httplib 0.11 does not expose the socket to handlers, so it is looked up among
// the open file descriptors by the client's port.
class PeerSocket {
 public:
  // `client_port` is the remote port of the request. Each thread caches the
  // descriptor it found last.
  explicit PeerSocket(int client_port);

  // Returns true if the client closed the connection, which is how callers
  // cancel a request. Returns false if the socket was not found.
  bool IsClosedByClient() const;

 private:
  int m_descriptor;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTSTUB_PEER_SOCKET_H_
