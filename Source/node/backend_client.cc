#include "node/backend_client.h"

#include <httplib.h>

#include <string>
#include <utility>

namespace vanillatiller {
namespace {

constexpr std::chrono::milliseconds kConnectTimeout{500};
constexpr size_t kMaxIdleConnections = 256;
constexpr int kServiceUnavailable = 503;

CallAnswer AnswerFromError(httplib::Error error) {
  const std::string text = "backend server: " + httplib::to_string(error);
  if (error == httplib::Error::Connection ||
      error == httplib::Error::ConnectionTimeout) {
    return NotRun(RefusalCode::kBackendUnreachable, text);
  }
  return UnknownOutcome(RefusalCode::kConnectionLost, text);
}

CallAnswer AnswerFromResponse(httplib::Response& response) {
  if (response.status == kServiceUnavailable &&
      response.has_header("X-Vt-Shed")) {
    return NotRun(RefusalCode::kBackendRefused, "backend server shed the call");
  }
  if (!IsFinalHttpStatus(response.status)) {
    return UnknownOutcome(
        RefusalCode::kIncompleteAnswer,
        "backend server: status " + std::to_string(response.status));
  }
  CallAnswer answer;
  answer.outcome = Outcome::kComplete;
  answer.status = response.status;
  answer.body = std::move(response.body);
  return answer;
}

}  // namespace

BackendClient::BackendClient(const ListenAddress& address,
                             size_t max_body_bytes)
    : m_address(address), m_max_body_bytes(max_body_bytes) {}

BackendClient::~BackendClient() = default;

CallAnswer BackendClient::Dispatch(ActiveCall& call, std::string_view body,
                                   TimePoint now) {
  const CallContext& context = call.context();
  const Duration time_left = context.deadline - now;
  std::unique_ptr<httplib::Client> client = AcquireClient();
  client->set_read_timeout(
      std::chrono::duration_cast<std::chrono::microseconds>(time_left));
  const httplib::Headers headers = {
      {"X-Vt-Call", call.token()},
      {"X-Vt-Request", context.request.ToString()},
      {"X-Vt-Tenant", context.tenant},
      {"X-Vt-Timeout-Ms", std::to_string(ToMicroseconds(time_left) / 1000)},
  };
  httplib::Client* raw_client = client.get();
  const uint64_t handler_key =
      call.cancellation().Add([raw_client] { raw_client->stop(); });
  httplib::Result result =
      client->Post("/" + context.service + "/" + context.method, headers,
                   body.data(), body.size(), "application/json");
  call.cancellation().Remove(handler_key);
  if (!result) return AnswerFromError(result.error());
  if (result->body.size() > m_max_body_bytes) {
    return UnknownOutcome(
        RefusalCode::kTooLarge,
        "response of the backend server exceeds max_body_bytes");
  }
  CallAnswer answer = AnswerFromResponse(result.value());
  ReleaseClient(std::move(client));
  return answer;
}

std::unique_ptr<httplib::Client> BackendClient::AcquireClient() {
  {
    const std::lock_guard lock(m_mutex);
    if (!m_idle_clients.empty()) {
      std::unique_ptr<httplib::Client> client =
          std::move(m_idle_clients.back());
      m_idle_clients.pop_back();
      return client;
    }
  }
  auto client = std::make_unique<httplib::Client>(m_address.ip, m_address.port);
  client->set_connection_timeout(kConnectTimeout);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  return client;
}

void BackendClient::ReleaseClient(std::unique_ptr<httplib::Client> client) {
  const std::lock_guard lock(m_mutex);
  if (m_idle_clients.size() < kMaxIdleConnections) {
    m_idle_clients.push_back(std::move(client));
  }
}

}  // namespace vanillatiller
