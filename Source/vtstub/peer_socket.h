#ifndef VANILLATILLER_SOURCE_VTSTUB_PEER_SOCKET_H_
#define VANILLATILLER_SOURCE_VTSTUB_PEER_SOCKET_H_

namespace vanillatiller {

// The accepted connection of the request that the present thread serves.
// httplib 0.11 does not show a handler its socket, so it is found among the
// open files by the client's port.
class PeerSocket {
 public:
  // `client_port` is the remote port of the request. It is looked up once for
  // each thread and connection.
  explicit PeerSocket(int client_port);

  // True if the client has closed the connection; a caller cancels a request
  // in this way. False if the socket was not found.
  bool IsClosedByClient() const;

 private:
  int m_descriptor;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTSTUB_PEER_SOCKET_H_
