#ifndef VANILLATILLER_TESTS_PLATFORM_SOAK_STORE_H_
#define VANILLATILLER_TESTS_PLATFORM_SOAK_STORE_H_

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "relay_harness.h"

namespace vanillatiller {

// Address in one of the networks of this process, so that soaks that run side
// by side do not take each other's ports.
std::string SoakIp(int network, size_t node);

// Stand-in of the platform's store with an entry of its own for each node, so
// that it can treat them differently.
class SoakStore {
 public:
  enum class Service : uint8_t {
    kServes,
    // Answers nothing, also not what is pending.
    kSilent,
    // 503 and 429 at once.
    kBusy,
    kTooMany,
    // Resets connections.
    kResets,
    // Answers late.
    kSlow,
  };

  SoakStore(EventLoop* loop, size_t nodes);

  // Address at which a node reaches the store.
  SocketAddress EntryOf(size_t node) const;
  void Put(const std::string& key, const std::string& value, TimePoint now);
  void Remove(const std::string& key, TimePoint now);

  // Discards the history up to now; pending watches are cut.
  void ForgetHistory();
  // Comes back from a copy of the state at `revision`, and begins a new era.
  // Revisions after that are given out again.
  void Restore(uint64_t revision);
  uint64_t revision() const { return m_history.size(); }
  // The revision of the state at `time`.
  uint64_t RevisionAt(TimePoint time) const;
  // The text of the header that names the era, if not the number of the era;
  // empty for no header.
  std::optional<std::string> era_text;
  void SetService(size_t node, Service service);
  // Open connections of the node go dark; new ones work.
  void SilenceConnections(size_t node);
  // Nodes by the number of their calls since the last time this was called,
  // most calls first.
  std::vector<size_t> TakeNodesByCalls();

 private:
  // Serves one node.
  class Entry : public HttpRequestHandler {
   public:
    Entry(SoakStore* store, size_t node);
    void OnRequest(const HttpResponderPtr& session, HttpRequest request,
                   TimePoint now) override;
    void OnCallerDisconnected(const HttpResponderPtr& session,
                              TimePoint now) override;

    Service service = Service::kServes;
    // Pending watches with the revision that each one knows.
    std::map<HttpResponderPtr, size_t> watches;
    std::unique_ptr<FaultProxy> network;
    size_t calls = 0;

   private:
    SoakStore* m_store;
    std::unique_ptr<TcpListener> m_listener;
  };

  struct Change {
    std::string key;
    // As JSON.
    std::string item;
    bool removed = false;
    TimePoint at;
  };

  void AddChange(Change change, TimePoint now);
  // Sends an answer with the era.
  void Respond(const HttpResponderPtr& session, int status,
               const std::string& body, TimePoint now) const;
  void Answer(Entry* entry, const HttpResponderPtr& session,
              const HttpRequest& request, TimePoint now);
  void AnswerWatch(const HttpResponderPtr& session, size_t after,
                   TimePoint now);
  void AnswerWatches(Entry* entry, TimePoint now);
  void CutWatches();

  EventLoop* m_loop;
  const uint16_t m_port;
  std::map<std::string, std::string> m_items;
  // The change at revision i + 1.
  std::vector<Change> m_history;
  uint64_t m_era = 1;
  // Watches from an earlier revision get 410.
  size_t m_oldest_revision = 0;
  std::vector<std::unique_ptr<Entry>> m_entries;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_TESTS_PLATFORM_SOAK_STORE_H_
