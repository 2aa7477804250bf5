#include "node/operator_service.h"

#include <utility>

namespace vanillatiller {

OperatorService::OperatorService(Parts parts)
    : m_report(parts.report), m_request_stop(std::move(parts.request_stop)) {}

grpc::ServerUnaryReactor* OperatorService::GetStatus(
    grpc::CallbackServerContext* context, const v1::StatusRequest* request,
    v1::StatusAnswer* response) {
  auto* reactor = context->DefaultReactor();
  auto json = m_report.Render(request->part());
  if (!json) {
    reactor->Finish({grpc::StatusCode::INVALID_ARGUMENT,
                     "part: expected summary, members, histograms or edges, "
                     "found \"" +
                         request->part() + "\""});
    return reactor;
  }
  response->set_json(*std::move(json));
  reactor->Finish(grpc::Status::OK);
  return reactor;
}

grpc::ServerUnaryReactor* OperatorService::GetConfig(
    grpc::CallbackServerContext* context, const v1::ConfigRequest* /*request*/,
    v1::ConfigAnswer* response) {
  auto* reactor = context->DefaultReactor();
  const ConfigStatus status = m_report.config_status();
  if (status.version == 0) {
    reactor->Finish({grpc::StatusCode::FAILED_PRECONDITION,
                     "no configuration is in force"});
    return reactor;
  }
  response->mutable_config()->set_version(status.version);
  response->mutable_config()->set_digest(status.digest.data(),
                                         status.digest.size());
  response->mutable_config()->set_confirmed(status.confirmed);
  response->set_value(status.value->text);
  response->set_conflict(status.conflict);
  reactor->Finish(grpc::Status::OK);
  return reactor;
}

grpc::ServerUnaryReactor* OperatorService::Drain(
    grpc::CallbackServerContext* context, const v1::DrainRequest* request,
    v1::DrainAnswer* response) {
  m_request_stop(request->reason());
  response->set_accepted(true);
  response->set_in_flight(m_report.in_flight());
  auto* reactor = context->DefaultReactor();
  reactor->Finish(grpc::Status::OK);
  return reactor;
}

}  // namespace vanillatiller
