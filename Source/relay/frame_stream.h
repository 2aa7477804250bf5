#ifndef VANILLATILLER_SOURCE_RELAY_FRAME_STREAM_H_
#define VANILLATILLER_SOURCE_RELAY_FRAME_STREAM_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "eventio/eventio.h"
#include "relay/relay.pb.h"

namespace vanillatiller {

// Largest frame between nodes: a 64 MiB body plus 1 MiB for headers and other
// fields.
inline constexpr size_t kMaxFrameBytes = (size_t{64} << 20) + (size_t{1} << 20);

// Serializes a frame: a four-byte big-endian length followed by the message.
std::string EncodeFrame(const relay::Frame& frame);

// Serializes a frame with a call up to its body, which has `body_bytes` bytes
// and follows. The call itself has no body.
std::string EncodeCallFrame(const relay::Call& call, size_t body_bytes);

// Splits a byte stream into frames. Calls and answers that the budget refuses
// are skipped; nothing of them is kept.
class FrameReader {
 public:
  enum class Result { kNeedsMore, kFrame, kSkipped, kError };

  // Large calls and answers are counted as `use`.
  explicit FrameReader(ByteBudget* budget = nullptr,
                       ByteUse use = ByteUse::kControl)
      : m_use(use), m_charge(budget, ByteUse::kControl) {}

  void Append(std::string_view data) { m_buffer += data; }
  // Extracts the next frame. After kError the stream is unusable.
  Result Next(relay::Frame* frame);
  // ID of the call, or of the answered call, that was skipped last.
  uint64_t skipped_id() const { return m_skipped_id; }

 private:
  Result Skip(std::string_view message, size_t length);
  // Whether a message that begins with `start` may be refused.
  static bool IsRefusable(std::string_view start);
  void DiscardConsumed();
  void CountBuffer();

  // Frames up to this size are not refused.
  static constexpr size_t kSmallFrameBytes = size_t{64} << 10;
  // Bytes at the beginning of a call or an answer that include its ID.
  static constexpr size_t kIdPrefixBytes = 32;

  ByteUse m_use;
  std::string m_buffer;
  size_t m_consumed = 0;
  // Bytes of a refused frame that have not been received yet.
  size_t m_skip_left = 0;
  uint64_t m_skipped_id = 0;
  // Of the buffer.
  ByteCharge m_charge;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_FRAME_STREAM_H_
