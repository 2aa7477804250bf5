#include "relay/frame_stream.h"

#include <arpa/inet.h>

#include <cstdint>
#include <cstring>

namespace vanillatiller {
namespace {

constexpr size_t kLengthBytes = sizeof(uint32_t);

}  // namespace

std::string EncodeFrame(const relay::Frame& frame) {
  const size_t bytes = frame.ByteSizeLong();
  std::string text(kLengthBytes, '\0');
  const uint32_t length = htonl(static_cast<uint32_t>(bytes));
  std::memcpy(text.data(), &length, kLengthBytes);
  frame.AppendToString(&text);
  return text;
}

FrameReader::Result FrameReader::Next(relay::Frame* frame) {
  std::string_view rest = m_buffer;
  rest.remove_prefix(m_consumed);
  uint32_t length = 0;
  if (rest.size() < kLengthBytes) {
    DiscardConsumed();
    return Result::kNeedsMore;
  }
  std::memcpy(&length, rest.data(), kLengthBytes);
  length = ntohl(length);
  if (length > kMaxFrameBytes) return Result::kError;
  if (rest.size() - kLengthBytes < length) {
    DiscardConsumed();
    return Result::kNeedsMore;
  }
  m_consumed += kLengthBytes + length;
  return frame->ParseFromArray(rest.data() + kLengthBytes,
                               static_cast<int>(length))
             ? Result::kFrame
             : Result::kError;
}

void FrameReader::DiscardConsumed() {
  m_buffer.erase(0, m_consumed);
  m_consumed = 0;
  if (m_buffer.empty()) m_buffer.shrink_to_fit();
}

}  // namespace vanillatiller
