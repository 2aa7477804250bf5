#include "node/peer_service.h"

#include <utility>

namespace vanillatiller {
namespace {

// Reactor of one Call RPC. The RPC is finished exactly once, with the answer;
// if the caller cancels it, the call is cancelled too.
class CallReactor final : public grpc::ServerUnaryReactor {
 public:
  CallReactor(Callee& callee, const CallId& call)
      : m_callee(callee), m_call(call) {}

  void OnCancel() override { m_callee.Cancel(m_call, BootClock::now()); }
  void OnDone() override { delete this; }

 private:
  Callee& m_callee;
  const CallId m_call;
};

IncomingRequest MakeForwarded(const CallContext& context,
                              const v1::CallRequest& request) {
  IncomingRequest forwarded;
  forwarded.service = context.service;
  forwarded.method = context.method;
  forwarded.tenant = context.tenant;
  forwarded.body = request.body();
  forwarded.ticket = request.ticket();
  forwarded.forwarded_deadline = context.deadline;
  return forwarded;
}

}  // namespace

PeerService::PeerService(const NodeSettings& settings, Callee& callee,
                         RequestPipeline& entry, ControlPlane& control)
    : m_settings(settings),
      m_callee(callee),
      m_entry(entry),
      m_control(control),
      m_forwarding_pool(settings.max_http_threads) {}

grpc::ServerUnaryReactor* PeerService::Call(
    grpc::CallbackServerContext* /*context*/, const v1::CallRequest* request,
    v1::CallAnswer* response) {
  const TimePoint now = BootClock::now();
  const CallId call{
      {request->context().call_high(), request->context().call_low()}};
  auto* reactor = new CallReactor(m_callee, call);
  const auto finish = [reactor, response, call](const CallAnswer& answer) {
    ToWire(answer, call, response->mutable_answer());
    reactor->Finish(grpc::Status::OK);
  };
  Reason reason;
  std::optional<CallContext> context =
      FromWire(request->context(), now, &reason);
  if (!context) {
    finish(NotRun(reason.code, reason.text));
    return reactor;
  }
  if (request->body().size() > m_settings.max_body_bytes) {
    finish(NotRun(RefusalCode::kTooLarge, "request body is too large"));
    return reactor;
  }
  if (request->body_hash() != HashBytes(request->body())) {
    finish(NotRun(RefusalCode::kBadRequest,
                  "request body does not match its hash"));
    return reactor;
  }
  if (request->ticket().empty()) {
    m_callee.Handle(std::move(*context), request->body(), finish, now);
    return reactor;
  }
  IncomingRequest forwarded = MakeForwarded(*context, *request);
  m_forwarding_pool.Post([this, finish, forwarded = std::move(forwarded)] {
    finish(m_entry.Handle(forwarded, BootClock::now()));
  });
  return reactor;
}

grpc::ServerUnaryReactor* PeerService::Fence(
    grpc::CallbackServerContext* context, const v1::FenceRequest* request,
    v1::FenceAnswer* response) {
  m_callee.Fence(*request, BootClock::now(), response);
  auto* reactor = context->DefaultReactor();
  reactor->Finish(grpc::Status::OK);
  return reactor;
}

grpc::ServerUnaryReactor* PeerService::Ping(
    grpc::CallbackServerContext* context, const v1::PingRequest* /*request*/,
    v1::PingAnswer* /*response*/) {
  auto* reactor = context->DefaultReactor();
  reactor->Finish(grpc::Status::OK);
  return reactor;
}

grpc::ServerUnaryReactor* PeerService::Cancel(
    grpc::CallbackServerContext* context, const v1::CancelRequest* request,
    v1::CancelAnswer* /*response*/) {
  m_callee.Cancel({{request->call_high(), request->call_low()}},
                  BootClock::now());
  auto* reactor = context->DefaultReactor();
  reactor->Finish(grpc::Status::OK);
  return reactor;
}

grpc::ServerUnaryReactor* PeerService::Exchange(
    grpc::CallbackServerContext* context, const v1::ExchangeRequest* request,
    v1::ExchangeAnswer* response) {
  m_control.Exchange(*request, response);
  auto* reactor = context->DefaultReactor();
  reactor->Finish(grpc::Status::OK);
  return reactor;
}

grpc::ServerUnaryReactor* PeerService::IndirectProbe(
    grpc::CallbackServerContext* context,
    const v1::IndirectProbeRequest* request,
    v1::IndirectProbeAnswer* response) {
  auto* reactor = context->DefaultReactor();
  m_control.IndirectProbe(*request, response,
                          [reactor] { reactor->Finish(grpc::Status::OK); });
  return reactor;
}

grpc::ServerUnaryReactor* PeerService::FetchConfig(
    grpc::CallbackServerContext* context, const v1::FetchConfigRequest* request,
    v1::FetchConfigAnswer* response) {
  m_control.FetchConfig(*request, response);
  auto* reactor = context->DefaultReactor();
  reactor->Finish(grpc::Status::OK);
  return reactor;
}

}  // namespace vanillatiller
