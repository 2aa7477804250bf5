#ifndef VANILLATILLER_SOURCE_NODE_TICKER_H_
#define VANILLATILLER_SOURCE_NODE_TICKER_H_

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "base/base.h"

namespace vanillatiller {

// Thread that calls a function periodically.
class Ticker {
 public:
  using Function = std::function<void(TimePoint now)>;

  Ticker(std::chrono::milliseconds interval, Function function);
  ~Ticker();
  Ticker(const Ticker&) = delete;
  Ticker& operator=(const Ticker&) = delete;

  void Start();
  // Waits until a call in progress has returned. Idempotent.
  void Stop();

 private:
  void Run();

  const std::chrono::milliseconds m_interval;
  const Function m_function;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_stopping = false;
  std::thread m_thread;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_TICKER_H_
