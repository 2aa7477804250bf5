#ifndef VANILLATILLER_SOURCE_NODE_OPERATOR_SERVICE_H_
#define VANILLATILLER_SOURCE_NODE_OPERATOR_SERVICE_H_

#include <grpcpp/grpcpp.h>

#include <functional>
#include <string>

#include "node/callee.h"
#include "node/status_report.h"
#include "peer.grpc.pb.h"

namespace vanillatiller {

// gRPC service for operators. All RPCs except Drain are read-only.
class OperatorService final : public v1::Operator::CallbackService {
 public:
  struct Parts {
    StatusReport& report;
    // Starts a graceful shutdown and returns immediately.
    std::function<void(const std::string& reason)> request_stop;
  };

  explicit OperatorService(Parts parts);

  // Fails with INVALID_ARGUMENT if `part` is unknown.
  grpc::ServerUnaryReactor* GetStatus(grpc::CallbackServerContext* context,
                                      const v1::StatusRequest* request,
                                      v1::StatusAnswer* response) override;
  // Fails with FAILED_PRECONDITION if no configuration is in force.
  grpc::ServerUnaryReactor* GetConfig(grpc::CallbackServerContext* context,
                                      const v1::ConfigRequest* request,
                                      v1::ConfigAnswer* response) override;
  grpc::ServerUnaryReactor* Drain(grpc::CallbackServerContext* context,
                                  const v1::DrainRequest* request,
                                  v1::DrainAnswer* response) override;

 private:
  StatusReport& m_report;
  const std::function<void(const std::string& reason)> m_request_stop;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_OPERATOR_SERVICE_H_
