#include "soak_store.h"

#include <unistd.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/str_format.h"

namespace vanillatiller {
namespace {

constexpr Duration kSlowAnswer = std::chrono::milliseconds(200);

}  // namespace

std::string SoakIp(int network, size_t node) {
  constexpr int kBlocks = 250;
  return absl::StrFormat("127.%d.%d.%d", 1 + getpid() % kBlocks, network,
                         static_cast<int>(node + 1));
}

SoakStore::Entry::Entry(SoakStore* store, size_t node) : m_store(store) {
  // Behind the address that nodes use.
  const SocketAddress behind{SoakIp(4, node), store->m_port};
  std::string reason;
  m_listener = TcpListener::Listen(
      store->m_loop, behind,
      [this](std::shared_ptr<TcpConnection> connection, TimePoint now) {
        HttpServerSession::Start(m_store->m_loop, std::move(connection), this,
                                 {}, now);
      },
      &reason);
  BOOST_TEST_REQUIRE((m_listener != nullptr), reason);
  network =
      std::make_unique<FaultProxy>(store->m_loop, store->EntryOf(node), behind);
}

void SoakStore::Entry::OnRequest(const HttpResponderPtr& session,
                                 HttpRequest request, TimePoint now) {
  ++calls;
  switch (service) {
    case Service::kServes:
      m_store->Answer(this, session, request, now);
      return;
    case Service::kSilent:
      return;
    case Service::kBusy:
      session->Respond({503, {}, ""}, now);
      return;
    case Service::kTooMany:
      session->Respond({429, {}, ""}, now);
      return;
    case Service::kResets:
      session->Abort();
      return;
    case Service::kSlow:
      m_store->m_loop->Schedule(
          now + kSlowAnswer, [this, session, request](TimePoint later) {
            m_store->Answer(this, session, request, later);
          });
      return;
  }
}

void SoakStore::Entry::OnCallerDisconnected(const HttpResponderPtr& session,
                                            TimePoint) {
  watches.erase(session);
}

SoakStore::SoakStore(EventLoop* loop, size_t nodes)
    : m_loop(loop), m_port(FreeLoopbackPort()) {
  for (size_t i = 0; i < nodes; ++i) {
    m_entries.push_back(std::make_unique<Entry>(this, i));
  }
}

SocketAddress SoakStore::EntryOf(size_t node) const {
  return {SoakIp(3, node), m_port};
}

void SoakStore::Put(const std::string& key, const std::string& value,
                    TimePoint now) {
  std::string encoded;
  absl::Base64Escape(value, &encoded);
  const size_t revision = m_history.size() + 1;
  m_items[key] = absl::StrFormat(
      R"({"key":"%s","value":"%s","revision":%d,"created_rev":1,"lease":0,)"
      R"("current_rev":%d})",
      key, encoded, revision, revision);
  AddChange({key, m_items[key], false, now}, now);
}

void SoakStore::Remove(const std::string& key, TimePoint now) {
  m_items.erase(key);
  AddChange({key,
             absl::StrFormat(R"({"key":"%s","revision":%d,"removed":true})",
                             key, m_history.size() + 1),
             true, now},
            now);
}

void SoakStore::AddChange(Change change, TimePoint now) {
  m_history.push_back(std::move(change));
  for (const auto& entry : m_entries) {
    if (entry->service == Service::kServes) AnswerWatches(entry.get(), now);
  }
}

void SoakStore::AnswerWatches(Entry* entry, TimePoint now) {
  for (const auto& [session, after] : std::exchange(entry->watches, {})) {
    AnswerWatch(session, after, now);
  }
}

void SoakStore::AnswerWatch(const HttpResponderPtr& session, size_t after,
                            TimePoint now) {
  std::string events;
  for (size_t i = after; i < m_history.size(); ++i) {
    events += (events.empty() ? "" : ",") + m_history[i].item;
  }
  Respond(session, 200,
          absl::StrFormat(R"({"events":[%s],"current_rev":%d})", events,
                          m_history.size()),
          now);
}

void SoakStore::Answer(Entry* entry, const HttpResponderPtr& session,
                       const HttpRequest& request, TimePoint now) {
  if (request.target.find("kv-key") != std::string::npos) {
    const auto config = m_items.find("op/config");
    const bool is_set = config != m_items.end();
    Respond(session, is_set ? 200 : 404, is_set ? config->second : "", now);
    return;
  }
  if (request.target.find("kv-range") != std::string::npos) {
    std::string items;
    for (const auto& [key, item] : m_items) {
      if (!key.starts_with("servers/")) continue;
      items += (items.empty() ? "" : ",") + item;
    }
    Respond(
        session, 200,
        absl::StrFormat(R"({"items":[%s],"more_pages":false,"current_rev":%d})",
                        items, m_history.size()),
        now);
    return;
  }
  const size_t at = request.target.find("after=");
  const size_t after =
      std::strtoul(request.target.c_str() + at + 6, nullptr, 10);
  if (after < m_oldest_revision || after > m_history.size()) {
    Respond(session, 410, "", now);
    return;
  }
  if (after < m_history.size() || request.target.ends_with("wait_ms=1")) {
    AnswerWatch(session, after, now);
    return;
  }
  entry->watches[session] = after;
  const size_t wait = request.target.find("wait_ms=");
  const std::chrono::milliseconds wait_time(
      std::strtoul(request.target.c_str() + wait + 8, nullptr, 10));
  m_loop->Schedule(now + wait_time, [this, entry, session](TimePoint later) {
    const auto watch = entry->watches.extract(session);
    if (watch.empty() || entry->service != Service::kServes) return;
    AnswerWatch(session, watch.mapped(), later);
  });
}

void SoakStore::Respond(const HttpResponderPtr& session, int status,
                        const std::string& body, TimePoint now) const {
  HttpResponse response{status, {}, body};
  const std::string era = era_text.value_or(std::to_string(m_era));
  if (!era.empty()) response.headers.Add("Store-Era", era);
  session->Respond(response, now);
}

uint64_t SoakStore::RevisionAt(TimePoint time) const {
  const auto later =
      std::find_if(m_history.begin(), m_history.end(),
                   [time](const Change& change) { return change.at > time; });
  return static_cast<uint64_t>(later - m_history.begin());
}

void SoakStore::Restore(uint64_t revision) {
  m_history.resize(revision);
  m_items.clear();
  for (const Change& change : m_history) {
    m_items.erase(change.key);
    if (!change.removed) m_items[change.key] = change.item;
  }
  m_oldest_revision = std::min<size_t>(m_oldest_revision, revision);
  ++m_era;
  CutWatches();
}

void SoakStore::CutWatches() {
  for (const auto& entry : m_entries) {
    for (const auto& [session, after] : std::exchange(entry->watches, {})) {
      session->Abort();
    }
  }
}

void SoakStore::ForgetHistory() {
  m_oldest_revision = m_history.size();
  CutWatches();
}

void SoakStore::SetService(size_t node, Service service) {
  Entry& entry = *m_entries[node];
  entry.service = service;
  if (service == Service::kServes) {
    // The store loses what was pending while it was silent.
    entry.watches.clear();
    return;
  }
  if (service == Service::kSilent || service == Service::kSlow) return;
  for (const auto& [session, after] : std::exchange(entry.watches, {})) {
    session->Abort();
  }
}

void SoakStore::SilenceConnections(size_t node) {
  m_entries[node]->network->DropTraffic();
}

std::vector<size_t> SoakStore::TakeNodesByCalls() {
  std::vector<std::pair<size_t, size_t>> ranked;
  for (size_t i = 0; i < m_entries.size(); ++i) {
    ranked.emplace_back(std::exchange(m_entries[i]->calls, 0), i);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<size_t> nodes;
  nodes.reserve(ranked.size());
  for (const auto& [calls, node] : ranked) nodes.push_back(node);
  return nodes;
}

}  // namespace vanillatiller
