#include "relay/frame_stream.h"

#include <arpa/inet.h>
#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

#include <algorithm>
#include <cstdint>
#include <cstring>

namespace vanillatiller {
namespace {

constexpr size_t kLengthBytes = sizeof(uint32_t);

// Keys of the wire format of protocol buffers: field number and wire type.
constexpr uint32_t kVarint = 0;
constexpr uint32_t kLengthDelimited = 2;
constexpr uint32_t MakeTag(int field, uint32_t type) {
  return static_cast<uint32_t>(field) << 3 | type;
}
constexpr uint32_t kCallTag =
    MakeTag(relay::Frame::kCallFieldNumber, kLengthDelimited);
constexpr uint32_t kAnswerTag =
    MakeTag(relay::Frame::kAnswerFieldNumber, kLengthDelimited);
constexpr uint32_t kBodyTag =
    MakeTag(relay::Call::kBodyFieldNumber, kLengthDelimited);
static_assert(static_cast<int>(relay::Call::kIdFieldNumber) ==
              static_cast<int>(relay::Answer::kIdFieldNumber));
constexpr uint32_t kIdTag = MakeTag(relay::Call::kIdFieldNumber, kVarint);

void AppendVarint(size_t value, std::string* text) {
  uint8_t bytes[10];
  const uint8_t* end =
      google::protobuf::io::CodedOutputStream::WriteVarint64ToArray(value,
                                                                    bytes);
  text->append(reinterpret_cast<const char*>(bytes),
               static_cast<size_t>(end - bytes));
}

void AppendLength(size_t bytes, std::string* text) {
  const uint32_t length = htonl(static_cast<uint32_t>(bytes));
  text->append(reinterpret_cast<const char*>(&length), kLengthBytes);
}

}  // namespace

std::string EncodeFrame(const relay::Frame& frame) {
  const size_t bytes = frame.ByteSizeLong();
  std::string text;
  text.reserve(kLengthBytes + bytes);
  AppendLength(bytes, &text);
  frame.AppendToString(&text);
  return text;
}

std::string EncodeCallFrame(const relay::Call& call, size_t body_bytes) {
  // The fields of a message may be in any order, so the body can be the last.
  std::string call_start = call.SerializeAsString();
  if (body_bytes > 0) {
    AppendVarint(kBodyTag, &call_start);
    AppendVarint(body_bytes, &call_start);
  }
  std::string frame_start;
  AppendVarint(kCallTag, &frame_start);
  AppendVarint(call_start.size() + body_bytes, &frame_start);
  std::string text;
  text.reserve(kLengthBytes + frame_start.size() + call_start.size());
  AppendLength(frame_start.size() + call_start.size() + body_bytes, &text);
  text += frame_start;
  text += call_start;
  return text;
}

FrameReader::Result FrameReader::Next(relay::Frame* frame) {
  std::string_view rest = m_buffer;
  rest.remove_prefix(m_consumed);
  const size_t skipped = std::min(m_skip_left, rest.size());
  m_skip_left -= skipped;
  m_consumed += skipped;
  rest.remove_prefix(skipped);
  if (rest.size() < kLengthBytes) {
    DiscardConsumed();
    return Result::kNeedsMore;
  }
  uint32_t length = 0;
  std::memcpy(&length, rest.data(), kLengthBytes);
  length = ntohl(length);
  if (length > kMaxFrameBytes) return Result::kError;
  const std::string_view message = rest.substr(kLengthBytes, length);
  if (message.size() == length) {
    m_consumed += kLengthBytes + length;
    const bool is_parsed =
        frame->ParseFromArray(message.data(), static_cast<int>(message.size()));
    if (length > kSmallFrameBytes) DiscardConsumed();
    return is_parsed ? Result::kFrame : Result::kError;
  }
  DiscardConsumed();
  if (length <= kSmallFrameBytes) {
    CountBuffer();
    return Result::kNeedsMore;
  }
  // Room has been made for the frame.
  if (m_charge.bytes() > length) return Result::kNeedsMore;
  if (m_buffer.size() < kLengthBytes + kIdPrefixBytes) {
    return Result::kNeedsMore;
  }
  std::string_view start = m_buffer;
  start.remove_prefix(kLengthBytes);
  if (!IsRefusable(start)) {
    m_buffer.reserve(kLengthBytes + length);
    CountBuffer();
    return Result::kNeedsMore;
  }
  if (!m_charge.TryResize(m_use, kLengthBytes + length)) {
    return Skip(start, length);
  }
  m_buffer.reserve(kLengthBytes + length);
  return Result::kNeedsMore;
}

bool FrameReader::IsRefusable(std::string_view start) {
  google::protobuf::io::CodedInputStream input(
      reinterpret_cast<const uint8_t*>(start.data()),
      static_cast<int>(start.size()));
  const uint32_t tag = input.ReadTag();
  return tag == kCallTag || tag == kAnswerTag;
}

FrameReader::Result FrameReader::Skip(std::string_view start, size_t length) {
  google::protobuf::io::CodedInputStream input(
      reinterpret_cast<const uint8_t*>(start.data()),
      static_cast<int>(start.size()));
  uint32_t bytes = 0;
  // Nothing can be said to the sender of a call without an ID.
  if (input.ReadTag() == 0 || !input.ReadVarint32(&bytes) ||
      input.ReadTag() != kIdTag || !input.ReadVarint64(&m_skipped_id)) {
    return Result::kError;
  }
  m_skip_left = length - start.size();
  m_consumed = m_buffer.size();
  DiscardConsumed();
  return Result::kSkipped;
}

void FrameReader::DiscardConsumed() {
  if (m_consumed == 0) return;
  m_buffer.erase(0, m_consumed);
  m_consumed = 0;
  if (m_buffer.capacity() > kSmallFrameBytes) m_buffer.shrink_to_fit();
  CountBuffer();
}

void FrameReader::CountBuffer() {
  m_charge.Resize(ByteUse::kControl, m_buffer.capacity());
}

}  // namespace vanillatiller
