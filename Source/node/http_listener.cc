#include "node/http_listener.h"

#include <httplib.h>

#include <array>
#include <atomic>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

#include "http/http.h"
#include "node/log.h"

namespace vanillatiller {
namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kRequestTimeout = 408;
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

// Seconds after which a client may send its request again: clients that make no
// progress have been given up by then.
constexpr const char* kRetryAfterSeconds = "1";
constexpr std::chrono::seconds kLogPeriod{1};

// Logs a refusal, at most once in kLogPeriod.
void LogRefusal(int status, const MemoryBudget& held_bodies) {
  static std::atomic<int64_t> last_s{0};
  const int64_t now_s = std::chrono::duration_cast<std::chrono::seconds>(
                            BootClock::now().time_since_epoch())
                            .count();
  int64_t last = last_s;
  if (now_s - last < kLogPeriod.count() ||
      !last_s.compare_exchange_strong(last, now_s)) {
    return;
  }
  Log(LogLevel::kWarning, "body-refused",
      {{"status", std::to_string(status)},
       {"held", std::to_string(held_bodies.used())},
       {"refusals", std::to_string(held_bodies.refusals())}});
}

// Reads the body of one request within the limits.
class BodyReader {
 public:
  BodyReader(size_t max_bytes, MemoryCharge* charge)
      : m_max_bytes(max_bytes), m_charge(charge) {}

  // Returns false if the body was refused or has not been received whole;
  // status() tells which.
  bool Read(const httplib::Request& request,
            const httplib::ContentReader& content) {
    const std::string length = request.get_header_value("Content-Length");
    // The head alone is sufficient to refuse the rest.
    if (!length.empty() &&
        !MakeRoom(std::strtoull(length.c_str(), nullptr, 10))) {
      return false;
    }
    return content([this](const char* data, size_t size) {
      if (!MakeRoom(m_body.size() + size)) return false;
      m_body.append(data, size);
      return true;
    });
  }
  int status() const { return m_status; }
  std::string& body() { return m_body; }

 private:
  bool MakeRoom(size_t bytes) {
    if (bytes > m_max_bytes) {
      m_status = kTooLarge;
      return false;
    }
    if (bytes <= m_body.capacity()) return true;
    const size_t capacity =
        std::max(bytes, std::min(2 * m_body.capacity(), m_max_bytes));
    if (!m_charge->TryResize(capacity, MemoryBudget::Clock::now())) {
      m_status = kUnavailable;
      return false;
    }
    m_body.reserve(capacity);
    return true;
  }

  const size_t m_max_bytes;
  MemoryCharge* m_charge;
  std::string m_body;
  int m_status = kRequestTimeout;
};

void WriteRefusal(int status, httplib::Response& response) {
  response.status = status;
  response.set_header("Connection", "close");
  if (status == kUnavailable) {
    response.set_header("Retry-After", kRetryAfterSeconds);
  }
  CallAnswer answer;
  answer.outcome = Outcome::kNotRun;
  answer.reason.code = status == kUnavailable ? RefusalCode::kNoMemory
                       : status == kTooLarge  ? RefusalCode::kTooLarge
                                              : RefusalCode::kBadRequest;
  response.set_header("X-Vt-Outcome", std::string(OutcomeName(answer.outcome)));
  response.set_header("X-Vt-Reason",
                      std::string(RefusalCodeName(answer.reason.code)));
  response.set_content(ErrorBody(answer), "application/json");
}

IncomingRequest ReadRequest(const httplib::Request& request, std::string body,
                            bool is_local) {
  IncomingRequest result;
  result.service = request.matches[1];
  result.method = request.matches[2];
  result.body = std::move(body);
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
                           const NodeSettings& settings,
                           MemoryBudget* held_bodies)
    : m_address(address),
      m_max_body_bytes(settings.max_body_bytes),
      m_held_bodies(held_bodies),
      m_server(std::make_unique<HttpServer>(settings.max_http_threads)) {
  m_server->set_payload_max_length(settings.max_body_bytes);
  m_server->SetMemoryCheck([held_bodies] {
    return held_bodies->IsShort(MemoryBudget::Clock::now());
  });
}

HttpListener::~HttpListener() { Stop(); }

void HttpListener::ServeCalls(RequestPipeline& pipeline, bool is_local) {
  m_server->Post(
      R"(/([A-Za-z0-9_.-]{1,128})/([A-Za-z0-9_.-]{1,128}))",
      [this, &pipeline, is_local](const httplib::Request& request,
                                  httplib::Response& response,
                                  const httplib::ContentReader& content) {
        HttpConnection* connection = HttpConnection::Current();
        MemoryCharge& charge = connection->charge();
        charge = MemoryCharge(m_held_bodies);
        BodyReader reader(m_max_body_bytes, &charge);
        if (!reader.Read(request, content)) {
          connection->CloseAfterResponse();
          WriteRefusal(reader.status(), response);
          LogRefusal(reader.status(), *m_held_bodies);
          return;
        }
        const CallAnswer answer = pipeline.Handle(
            ReadRequest(request, std::move(reader.body()), is_local),
            BootClock::now());
        WriteAnswer(answer, response);
        // Held until the client has read it.
        charge.Resize(response.body.size());
      });
}

uint64_t HttpListener::refused_connections() const {
  return m_server->refused_connections();
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
