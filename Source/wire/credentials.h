#ifndef VANILLATILLER_SOURCE_WIRE_CREDENTIALS_H_
#define VANILLATILLER_SOURCE_WIRE_CREDENTIALS_H_

#include <grpcpp/grpcpp.h>

#include <memory>
#include <string>

namespace vanillatiller {

// PEM files of one party. All empty means plaintext.
struct CertificateFiles {
  std::string certificate;
  std::string key;
  // Authorities that the other party's certificate must come from.
  std::string ca;

  bool IsEmpty() const {
    return certificate.empty() && key.empty() && ca.empty();
  }
};

// Credentials of the peer listener: mutual TLS, or plaintext without files.
// The files are read again every few seconds, so a renewed certificate is used
// without a restart.
std::shared_ptr<grpc::ServerCredentials> MakeServerCredentials(
    const CertificateFiles& files);

// Credentials for calls to the peer listener of other nodes. The certificate
// of the other party must come from the authority; its name is not compared,
// since VMs are replaced and addressed by IP number.
std::shared_ptr<grpc::ChannelCredentials> MakeChannelCredentials(
    const CertificateFiles& files);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_WIRE_CREDENTIALS_H_
