#ifndef VANILLATILLER_SOURCE_RELAY_FRAME_STREAM_H_
#define VANILLATILLER_SOURCE_RELAY_FRAME_STREAM_H_

#include <string>
#include <string_view>

#include "relay/relay.pb.h"

namespace vanillatiller {

// Largest frame between nodes: a body, its headers and a margin.
inline constexpr size_t kMaxFrameBytes = (size_t{64} << 20) + (size_t{1} << 20);

// Text of one frame: four bytes of length, most significant first, and the
// message.
std::string EncodeFrame(const relay::Frame& frame);

// Cuts the bytes of a connection into frames.
class FrameReader {
 public:
  enum class Result { kNeedsMore, kFrame, kError };

  void Append(std::string_view data) { m_buffer += data; }
  // Takes the next frame out. After kError the connection cannot be used.
  Result Next(relay::Frame* frame);

 private:
  void DropRead();

  std::string m_buffer;
  size_t m_read = 0;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_FRAME_STREAM_H_
