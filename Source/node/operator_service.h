#ifndef VANILLATILLER_SOURCE_NODE_OPERATOR_SERVICE_H_
#define VANILLATILLER_SOURCE_NODE_OPERATOR_SERVICE_H_

#include <grpcpp/grpcpp.h>

#include <functional>
#include <string>

#include "node/callee.h"
#include "node/status_report.h"
#include "peer.grpc.pb.h"

namespace vanillatiller {

// Receives the RPCs of operators. All of them read, but for Drain.
class OperatorService final : public v1::Operator::CallbackService {
 public:
  struct Parts {
    StatusReport& report;
    // Starts the planned stop and returns at once.
    std::function<void(const std::string& reason)> request_stop;
  };

  explicit OperatorService(Parts parts);

  // INVALID_ARGUMENT for a part that there is not.
  grpc::ServerUnaryReactor* GetStatus(grpc::CallbackServerContext* context,
                                      const v1::StatusRequest* request,
                                      v1::StatusAnswer* response) override;
  // FAILED_PRECONDITION if no configuration is in force.
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
