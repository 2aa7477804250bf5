#include "node/http_listener.h"

#include <httplib.h>

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "http/http.h"

namespace vanillatiller {
namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooLarge = 413;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

struct RefusalStatus {
  RefusalCode code;
  int status;
};

// Refusals caused by the request itself; all others map to 503.
constexpr auto kRefusalStatuses = std::to_array<RefusalStatus>({
    {RefusalCode::kBadRequest, kBadRequest},
    {RefusalCode::kUnknownService, kNotFound},
    {RefusalCode::kUnknownMethod, kNotFound},
    {RefusalCode::kTooLarge, kTooLarge},
    {RefusalCode::kTicketRequired, kConflict},
    {RefusalCode::kTicketInvalid, kConflict},
    {RefusalCode::kTicketExpired, kConflict},
    {RefusalCode::kNotIdempotent, kConflict},
});

int HttpStatus(const CallAnswer& answer) {
  if (answer.outcome == Outcome::kComplete) {
    return static_cast<int>(answer.status);
  }
  if (answer.outcome == Outcome::kUnknown) return kGatewayTimeout;
  for (const RefusalStatus& entry : kRefusalStatuses) {
    if (entry.code == answer.reason.code) return entry.status;
  }
  return kUnavailable;
}

std::string ErrorBody(const CallAnswer& answer) {
  const nlohmann::json body = {
      {"outcome", OutcomeName(answer.outcome)},
      {"reason", RefusalCodeName(answer.reason.code)},
      {"detail", answer.reason.text},
      {"refused_by", answer.refused_by},
  };
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void WriteAnswer(const CallAnswer& answer, httplib::Response& response) {
  response.status = HttpStatus(answer);
  response.set_header("X-Vt-Outcome", std::string(OutcomeName(answer.outcome)));
  response.set_header("X-Vt-Attempts", std::to_string(answer.attempts));
  if (answer.reason.code != RefusalCode::kNone) {
    response.set_header("X-Vt-Reason",
                        std::string(RefusalCodeName(answer.reason.code)));
  }
  if (!answer.refused_by.empty()) {
    response.set_header("X-Vt-Refused-By", answer.refused_by);
  }
  if (!answer.ticket.empty()) {
    response.set_header("X-Vt-Ticket", answer.ticket);
  }
  const bool is_complete = answer.outcome == Outcome::kComplete;
  response.set_content(is_complete ? answer.body : ErrorBody(answer),
                       "application/json");
}

IncomingRequest ReadRequest(const httplib::Request& request, bool is_local) {
  IncomingRequest result;
  result.service = request.matches[1];
  result.method = request.matches[2];
  result.body = request.body;
  result.tenant = request.get_header_value("X-Vt-Tenant");
  result.ticket = request.get_header_value("X-Vt-Ticket");
  result.timeout_ms = request.get_header_value("X-Vt-Timeout-Ms");
  result.is_local = is_local;
  // X-Vt-Call is trusted only from the local backend server; external callers
  // must not associate a request with an active call.
  if (is_local) result.call_token = request.get_header_value("X-Vt-Call");
  return result;
}

}  // namespace

HttpListener::HttpListener(const ListenAddress& address,
                           const NodeSettings& settings)
    : m_address(address),
      m_server(std::make_unique<HttpServer>(settings.max_http_threads)) {
  m_server->set_payload_max_length(settings.max_body_bytes);
}

HttpListener::~HttpListener() { Stop(); }

void HttpListener::ServeCalls(RequestPipeline& pipeline, bool is_local) {
  m_server->Post(R"(/([A-Za-z0-9_.-]{1,128})/([A-Za-z0-9_.-]{1,128}))",
                 [&pipeline, is_local](const httplib::Request& request,
                                       httplib::Response& response) {
                   const CallAnswer answer = pipeline.Handle(
                       ReadRequest(request, is_local), BootClock::now());
                   WriteAnswer(answer, response);
                 });
}

void HttpListener::ServeText(const std::string& path,
                             const std::string& content_type,
                             std::function<std::string()> render) {
  m_server->Get(path,
                [render = std::move(render), content_type](
                    const httplib::Request&, httplib::Response& response) {
                  response.set_content(render(), content_type);
                });
}

bool HttpListener::Start() {
  if (!m_server->Bind(m_address.ip, m_address.port)) return false;
  m_thread = std::thread([this] { m_server->listen_after_bind(); });
  return true;
}

void HttpListener::Stop() {
  if (!m_thread.joinable()) return;
  m_server->stop();
  m_thread.join();
}

}  // namespace vanillatiller
