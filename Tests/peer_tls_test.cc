#define BOOST_TEST_MODULE peer_tls
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <thread>

#include "peer.grpc.pb.h"
#include "process_fleet.h"
#include "wire/wire.h"

namespace vanillatiller {
namespace {

constexpr std::string_view kConfig = R"(version = 1
[[rank]]
name = "normal"
order = 0
[[service]]
name = "ledger"
slots = 16
[[service.method]]
name = "read"
rank = "normal"
idempotent = true
[[service]]
name = "permits"
slots = 16
[[service.method]]
name = "show"
rank = "normal"
idempotent = true
)";

// A directory with certificates made for one test.
class Certificates {
 public:
  Certificates() {
    std::string name =
        (std::filesystem::temp_directory_path() / "vt-tls-XXXXXX").string();
    m_directory = mkdtemp(name.data());
  }
  ~Certificates() { std::filesystem::remove_all(m_directory); }

  // Makes an authority and a certificate signed by it.
  CertificateFiles Make(const std::string& name) {
    const std::string base = m_directory + "/" + name;
    Run("req -x509 -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes "
        "-days 2 -subj /CN=authority -keyout " +
        base + "-ca.key -out " + base + "-ca.pem");
    Run("req -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes "
        "-subj /CN=node -keyout " +
        base + ".key -out " + base + ".csr");
    Run("x509 -req -days 2 -CAcreateserial -in " + base + ".csr -CA " + base +
        "-ca.pem -CAkey " + base + "-ca.key -out " + base + ".pem");
    return {base + ".pem", base + ".key", base + "-ca.pem"};
  }

 private:
  static void Run(const std::string& arguments) {
    const std::string command = "openssl " + arguments + " 2>/dev/null";
    BOOST_TEST_REQUIRE(std::system(command.c_str()) == 0, command);
  }

  std::string m_directory;
};

std::string TlsSection(const CertificateFiles& files) {
  return "[tls]\ncertificate = \"" + files.certificate + "\"\nkey = \"" +
         files.key + "\"\nca = \"" + files.ca + "\"\n";
}

std::vector<ProcessFleet::ServerSpec> Servers(const CertificateFiles& files) {
  std::vector<ProcessFleet::ServerSpec> servers(2);
  servers[0].vm = "vm-1";
  servers[0].service = "permits";
  servers[1].vm = "vm-2";
  servers[1].service = "ledger";
  for (auto& server : servers) server.extra_settings = TlsSection(files);
  return servers;
}

bool PingSucceeds(int port, const CertificateFiles& files) {
  const auto stub = v1::Peer::NewStub(grpc::CreateChannel(
      "127.0.0.1:" + std::to_string(port), MakeChannelCredentials(files)));
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() +
                       std::chrono::seconds(3));
  v1::PingAnswer answer;
  return stub->Ping(&context, v1::PingRequest(), &answer).ok();
}

// Guards against a peer listener that answers parties which prove nothing or
// prove it by another authority.
BOOST_AUTO_TEST_CASE(OnlyPartiesOfTheAuthoritySpeak) {
  Certificates certificates;
  const CertificateFiles own = certificates.Make("own");
  const CertificateFiles foreign = certificates.Make("foreign");
  ProcessFleet fleet(kConfig, Servers(own));
  BOOST_TEST_REQUIRE(fleet.WaitUntilReady(std::chrono::seconds(20)));
  BOOST_TEST(fleet.Post(0, "/ledger/read", {}, "{}")->status == 200);

  const int port = fleet.server(1).peer_port;
  CertificateFiles mixed = foreign;
  mixed.ca = own.ca;
  BOOST_TEST(PingSucceeds(port, own));
  BOOST_TEST(!PingSucceeds(port, foreign));
  BOOST_TEST(!PingSucceeds(port, mixed));
  BOOST_TEST(!PingSucceeds(port, {}));
}

// Guards against a node that needs a restart to use a renewed certificate.
BOOST_AUTO_TEST_CASE(RenewedCertificatesAreReadWithoutRestart) {
  Certificates certificates;
  const CertificateFiles files = certificates.Make("node");
  const CertificateFiles renewed = certificates.Make("renewed");
  ProcessFleet fleet(kConfig, Servers(files));
  BOOST_TEST_REQUIRE(fleet.WaitUntilReady(std::chrono::seconds(20)));
  const int port = fleet.server(1).peer_port;
  BOOST_TEST(!PingSucceeds(port, renewed));
  const auto overwrite = std::filesystem::copy_options::overwrite_existing;
  std::filesystem::copy(renewed.certificate, files.certificate, overwrite);
  std::filesystem::copy(renewed.key, files.key, overwrite);
  std::filesystem::copy(renewed.ca, files.ca, overwrite);
  bool is_renewed = false;
  for (int i = 0; i < 30 && !is_renewed; ++i) {
    std::this_thread::sleep_for(std::chrono::seconds(1));
    is_renewed = PingSucceeds(port, renewed);
  }
  BOOST_TEST(is_renewed);
}

}  // namespace
}  // namespace vanillatiller
