#include "vtctl/grpc_fleet_client.h"

#include <grpcpp/grpcpp.h>

#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

#include "peer.grpc.pb.h"

namespace vanillatiller {
namespace {

bool ReadFile(const std::string& path, std::string* text, Reason* reason) {
  if (path.empty()) return true;
  std::ifstream file(path);
  std::ostringstream content;
  if (file) content << file.rdbuf();
  if (!file) {
    *reason = {RefusalCode::kBadRequest, path + ": cannot read the file"};
    return false;
  }
  *text = content.str();
  return true;
}

class GrpcFleetClient final : public FleetClient {
 public:
  GrpcFleetClient(std::shared_ptr<grpc::ChannelCredentials> credentials,
                  Duration timeout)
      : m_credentials(std::move(credentials)), m_timeout(timeout) {}

  std::optional<std::string> GetStatus(const std::string& node,
                                       const std::string& part,
                                       Reason* reason) override {
    v1::StatusRequest request;
    request.set_part(part);
    v1::StatusAnswer answer;
    if (!Call(node, &v1::Operator::Stub::GetStatus, request, &answer, reason)) {
      return std::nullopt;
    }
    return answer.json();
  }

  std::optional<NodeConfig> GetConfig(const std::string& node,
                                      Reason* reason) override {
    const v1::ConfigRequest request;
    v1::ConfigAnswer answer;
    if (!Call(node, &v1::Operator::Stub::GetConfig, request, &answer, reason)) {
      return std::nullopt;
    }
    NodeConfig config;
    config.version = answer.config().version();
    const std::string& digest = answer.config().digest();
    if (digest.size() != config.digest.size()) {
      *reason = {RefusalCode::kIncompleteAnswer, "malformed digest"};
      return std::nullopt;
    }
    std::copy(digest.begin(), digest.end(), config.digest.begin());
    config.confirmed = answer.config().confirmed();
    config.value = answer.value();
    config.conflict = answer.conflict();
    return config;
  }

  std::optional<DrainResult> Drain(const std::string& node,
                                   const std::string& drain_reason,
                                   Reason* reason) override {
    v1::DrainRequest request;
    request.set_reason(drain_reason);
    v1::DrainAnswer answer;
    if (!Call(node, &v1::Operator::Stub::Drain, request, &answer, reason)) {
      return std::nullopt;
    }
    return DrainResult{answer.accepted(), answer.in_flight()};
  }

  TimePoint Now() override { return BootClock::now(); }
  void Sleep(Duration duration) override {
    std::this_thread::sleep_for(duration);
  }

 private:
  template <typename Request, typename Answer>
  bool Call(const std::string& node,
            grpc::Status (v1::Operator::Stub::*method)(grpc::ClientContext*,
                                                       const Request&, Answer*),
            const Request& request, Answer* answer, Reason* reason) {
    const auto stub =
        v1::Operator::NewStub(grpc::CreateChannel(node, m_credentials));
    grpc::ClientContext context;
    context.set_deadline(
        std::chrono::system_clock::now() +
        std::chrono::duration_cast<std::chrono::system_clock::duration>(
            m_timeout));
    const grpc::Status status =
        (stub.get()->*method)(&context, request, answer);
    if (status.ok()) return true;
    *reason = {RefusalCode::kConnectionLost, status.error_message()};
    return false;
  }

  const std::shared_ptr<grpc::ChannelCredentials> m_credentials;
  const Duration m_timeout;
};

}  // namespace

std::unique_ptr<FleetClient> MakeGrpcFleetClient(const ClientSettings& settings,
                                                 Reason* reason) {
  if (settings.ca_file.empty() && settings.certificate_file.empty() &&
      settings.key_file.empty()) {
    return std::make_unique<GrpcFleetClient>(grpc::InsecureChannelCredentials(),
                                             settings.timeout);
  }
  grpc::SslCredentialsOptions options;
  if (!ReadFile(settings.ca_file, &options.pem_root_certs, reason) ||
      !ReadFile(settings.certificate_file, &options.pem_cert_chain, reason) ||
      !ReadFile(settings.key_file, &options.pem_private_key, reason)) {
    return nullptr;
  }
  return std::make_unique<GrpcFleetClient>(grpc::SslCredentials(options),
                                           settings.timeout);
}

}  // namespace vanillatiller
