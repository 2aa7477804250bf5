#ifndef VANILLATILLER_SOURCE_NODE_CANCELLATION_H_
#define VANILLATILLER_SOURCE_NODE_CANCELLATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>

namespace vanillatiller {

// Tells the work done for one call that the call was cancelled. Safe to use
// from several threads.
class Cancellation {
 public:
  using Handler = std::function<void()>;

  // Runs `handler` on cancellation, at once if that has happened already.
  // Returns a key for Remove.
  uint64_t Add(Handler handler);

  // After this returns the handler is not running and never runs again.
  void Remove(uint64_t key);

  // Runs all handlers once. Handlers must not block.
  void Cancel();

  bool IsCancelled() const;

 private:
  mutable std::recursive_mutex m_mutex;
  std::map<uint64_t, Handler> m_handlers;
  uint64_t m_next_key = 1;
  bool m_cancelled = false;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_CANCELLATION_H_
