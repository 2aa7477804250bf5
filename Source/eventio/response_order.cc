#include "eventio/response_order.h"

#include <algorithm>
#include <utility>

namespace vanillatiller {

bool ResponseOrder::MayStart(bool is_idempotent) const {
  if (m_is_closing) return false;
  if (m_requests.empty()) return true;
  // A non-idempotent request has no others beside it, so checking the first
  // request is sufficient.
  return is_idempotent && m_requests.front().is_idempotent &&
         m_requests.size() < kMaxConcurrent && m_held_bytes < kMaxHeldBytes;
}

ResponseOrder::RequestId ResponseOrder::Start(bool is_idempotent,
                                              bool is_head) {
  m_requests.push_back({++m_last_id, is_idempotent, is_head, std::nullopt});
  return m_last_id;
}

std::vector<ResponseOrder::ReadyResponse> ResponseOrder::OnResponse(
    RequestId id, HttpResponse response) {
  const auto answered =
      std::find_if(m_requests.begin(), m_requests.end(),
                   [id](const Request& request) { return request.id == id; });
  if (answered == m_requests.end() || answered->response) return {};
  m_held_bytes += response.body.size();
  answered->response = std::move(response);
  std::vector<ReadyResponse> ready;
  while (!m_requests.empty() && m_requests.front().response) {
    Request& first = m_requests.front();
    m_held_bytes -= first.response->body.size();
    ready.push_back({*std::move(first.response), first.is_head, false});
    m_requests.pop_front();
  }
  if (!ready.empty()) {
    ready.back().is_last = m_is_closing && m_requests.empty();
  }
  return ready;
}

std::vector<ResponseOrder::RequestId> ResponseOrder::Unanswered() const {
  std::vector<RequestId> ids;
  for (const Request& request : m_requests) {
    if (!request.response) ids.push_back(request.id);
  }
  return ids;
}

}  // namespace vanillatiller
