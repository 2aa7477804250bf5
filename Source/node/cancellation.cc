#include "node/cancellation.h"

#include <utility>

namespace vanillatiller {

uint64_t Cancellation::Add(Handler handler) {
  const std::lock_guard lock(m_mutex);
  const uint64_t key = m_next_key++;
  if (m_is_cancelled) {
    handler();
    return key;
  }
  m_handlers.emplace(key, std::move(handler));
  return key;
}

void Cancellation::Remove(uint64_t key) {
  const std::lock_guard lock(m_mutex);
  m_handlers.erase(key);
}

void Cancellation::Cancel() {
  const std::lock_guard lock(m_mutex);
  if (m_is_cancelled) return;
  m_is_cancelled = true;
  const std::map<uint64_t, Handler> handlers = std::move(m_handlers);
  m_handlers.clear();
  for (const auto& [key, handler] : handlers) handler();
}

bool Cancellation::IsCancelled() const {
  const std::lock_guard lock(m_mutex);
  return m_is_cancelled;
}

}  // namespace vanillatiller
