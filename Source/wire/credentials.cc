#include "wire/credentials.h"

#include <grpcpp/security/tls_certificate_provider.h>
#include <grpcpp/security/tls_certificate_verifier.h>
#include <grpcpp/security/tls_credentials_options.h>

namespace vanillatiller {
namespace {

namespace tls = grpc::experimental;

constexpr unsigned int kRefreshSeconds = 5;

std::shared_ptr<tls::CertificateProviderInterface> WatchFiles(
    const CertificateFiles& files) {
  return std::make_shared<tls::FileWatcherCertificateProvider>(
      files.key, files.certificate, files.ca, kRefreshSeconds);
}

}  // namespace

std::shared_ptr<grpc::ServerCredentials> MakeServerCredentials(
    const CertificateFiles& files) {
  if (files.IsEmpty()) return grpc::InsecureServerCredentials();
  tls::TlsServerCredentialsOptions options(WatchFiles(files));
  options.watch_root_certs();
  options.watch_identity_key_cert_pairs();
  options.set_cert_request_type(
      GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
  return tls::TlsServerCredentials(options);
}

std::shared_ptr<grpc::ChannelCredentials> MakeChannelCredentials(
    const CertificateFiles& files) {
  if (files.IsEmpty()) return grpc::InsecureChannelCredentials();
  tls::TlsChannelCredentialsOptions options;
  options.set_certificate_provider(WatchFiles(files));
  options.watch_root_certs();
  options.watch_identity_key_cert_pairs();
  options.set_verify_server_certs(true);
  options.set_check_call_host(false);
  options.set_certificate_verifier(
      std::make_shared<tls::NoOpCertificateVerifier>());
  return tls::TlsCredentials(options);
}

}  // namespace vanillatiller
