#ifndef VANILLATILLER_SOURCE_NODE_CANCELLATION_H_
#define VANILLATILLER_SOURCE_NODE_CANCELLATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>

namespace vanillatiller {

// Propagates the cancellation of one call to registered handlers. Thread-safe.
class Cancellation {
 public:
  using Handler = std::function<void()>;

  // Registers a handler to run on cancellation. If the call is already
  // cancelled, runs it immediately. Returns a key for Remove().
  uint64_t Add(Handler handler);

  // Unregisters a handler. After this returns, the handler is not running and
  // will not run.
  void Remove(uint64_t key);

  // Runs each registered handler once. Handlers must not block.
  void Cancel();

  bool IsCancelled() const;

 private:
  mutable std::recursive_mutex m_mutex;
  std::map<uint64_t, Handler> m_handlers;
  uint64_t m_next_key = 1;
  bool m_is_cancelled = false;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_CANCELLATION_H_
