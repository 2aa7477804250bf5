#include "relay/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include "absl/strings/str_format.h"

namespace vanillatiller {

std::string FormatAge(TimePoint since, TimePoint now) {
  return since == TimePoint{} ? "never"
                              : std::to_string(ToMilliseconds(now - since));
}

EventLog::EventLog(int fd, std::string vm) : m_fd(fd), m_vm(std::move(vm)) {
  const int flags = fcntl(fd, F_GETFL);
  if (flags >= 0) fcntl(fd, F_SETFL, flags | O_NONBLOCK);
  for (TokenBucket& bucket : m_buckets) bucket.tokens = kBurstLines;
}

bool EventLog::TakeToken(LogTopic topic, TimePoint now) {
  TokenBucket& bucket = m_buckets[static_cast<size_t>(topic)];
  if (now > bucket.refilled) {
    const double passed =
        std::chrono::duration<double>(now - bucket.refilled).count();
    bucket.tokens =
        std::min(kBurstLines, bucket.tokens + passed * kLinesPerSecond);
    bucket.refilled = now;
  }
  if (bucket.tokens < 1) return false;
  bucket.tokens -= 1;
  return true;
}

void EventLog::Write(LogTopic topic, std::string_view event,
                     std::initializer_list<LogField> fields, TimePoint now) {
  if (m_buffer.size() >= kMaxBufferBytes || !TakeToken(topic, now)) {
    ++m_unreported_lost;
    ++m_lost_total;
    return;
  }
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  m_buffer += absl::StrFormat("time=%.3f event=",
                              std::chrono::duration<double>(wall).count());
  m_buffer += event;
  AppendLogField("vm", m_vm, &m_buffer);
  for (const LogField& field : fields) {
    AppendLogField(field.key, field.value, &m_buffer);
  }
  if (m_unreported_lost > 0) {
    AppendLogField("lines_lost",
                   std::to_string(std::exchange(m_unreported_lost, 0)),
                   &m_buffer);
  }
  m_buffer += '\n';
}

void EventLog::Flush() {
  while (!m_buffer.empty()) {
    const ssize_t written = write(m_fd, m_buffer.data(), m_buffer.size());
    // The reader is slow or has exited; retries the rest at the next flush.
    if (written <= 0) return;
    m_buffer.erase(0, static_cast<size_t>(written));
  }
}

}  // namespace vanillatiller
