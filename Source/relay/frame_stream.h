#ifndef VANILLATILLER_SOURCE_RELAY_FRAME_STREAM_H_
#define VANILLATILLER_SOURCE_RELAY_FRAME_STREAM_H_

#include <string>
#include <string_view>

#include "relay/relay.pb.h"

namespace vanillatiller {

// Largest frame between nodes: a 64 MiB body plus 1 MiB for headers and other
// fields.
inline constexpr size_t kMaxFrameBytes = (size_t{64} << 20) + (size_t{1} << 20);

// Serializes a frame: a four-byte big-endian length followed by the message.
std::string EncodeFrame(const relay::Frame& frame);

// Splits a byte stream into frames.
class FrameReader {
 public:
  enum class Result { kNeedsMore, kFrame, kError };

  void Append(std::string_view data) { m_buffer += data; }
  // Extracts the next frame. After kError the stream is unusable.
  Result Next(relay::Frame* frame);

 private:
  void DiscardConsumed();

  std::string m_buffer;
  size_t m_consumed = 0;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_FRAME_STREAM_H_
