#ifndef VANILLATILLER_SOURCE_NODE_PEER_SERVICE_H_
#define VANILLATILLER_SOURCE_NODE_PEER_SERVICE_H_

#include <grpcpp/grpcpp.h>

#include "http/http.h"
#include "node/callee.h"
#include "node/control_plane.h"
#include "node/request_pipeline.h"
#include "node/settings.h"
#include "peer.grpc.pb.h"

namespace vanillatiller {

// gRPC service for other nodes.
class PeerService final : public v1::Peer::CallbackService {
 public:
  PeerService(const NodeSettings& settings, Callee& callee,
              RequestPipeline& entry, ControlPlane& control);

  grpc::ServerUnaryReactor* Call(grpc::CallbackServerContext* context,
                                 const v1::CallRequest* request,
                                 v1::CallAnswer* response) override;
  grpc::ServerUnaryReactor* Fence(grpc::CallbackServerContext* context,
                                  const v1::FenceRequest* request,
                                  v1::FenceAnswer* response) override;
  grpc::ServerUnaryReactor* Ping(grpc::CallbackServerContext* context,
                                 const v1::PingRequest* request,
                                 v1::PingAnswer* response) override;
  grpc::ServerUnaryReactor* Cancel(grpc::CallbackServerContext* context,
                                   const v1::CancelRequest* request,
                                   v1::CancelAnswer* response) override;
  grpc::ServerUnaryReactor* Exchange(grpc::CallbackServerContext* context,
                                     const v1::ExchangeRequest* request,
                                     v1::ExchangeAnswer* response) override;
  grpc::ServerUnaryReactor* IndirectProbe(
      grpc::CallbackServerContext* context,
      const v1::IndirectProbeRequest* request,
      v1::IndirectProbeAnswer* response) override;
  grpc::ServerUnaryReactor* FetchConfig(
      grpc::CallbackServerContext* context,
      const v1::FetchConfigRequest* request,
      v1::FetchConfigAnswer* response) override;

 private:
  const NodeSettings& m_settings;
  Callee& m_callee;
  RequestPipeline& m_entry;
  ControlPlane& m_control;
  // Runs requests that other nodes forward because this node issued their
  // tickets.
  WorkerPool m_forwarding_pool;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_PEER_SERVICE_H_
