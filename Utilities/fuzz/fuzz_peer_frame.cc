// Fuzz target for frames between nodes: the stream of frames, and the decoding
// of calls and answers.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "relay/relay.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  vanillatiller::FrameReader reader;
  reader.Append({reinterpret_cast<const char*>(data), size});
  vanillatiller::relay::Frame frame;
  while (reader.Next(&frame) == vanillatiller::FrameReader::Result::kFrame) {
    if (frame.has_answer()) {
      const auto result = vanillatiller::DecodeAnswer(frame.answer());
      if (result.expected_wait < vanillatiller::Duration::zero()) std::abort();
    }
    if (frame.has_call()) {
      const auto left = vanillatiller::TimeLeft(frame.call());
      if (left < vanillatiller::Duration::zero() ||
          left > std::chrono::hours(24)) {
        std::abort();
      }
      vanillatiller::DecodeHeaders(frame.call().headers());
      vanillatiller::MakeWork(frame.call(), 1, {});
    }
  }
  return 0;
}
