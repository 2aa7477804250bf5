// Fuzz target for the HTTP/1.1 parser in both directions. The first byte
// selects the direction and how the input is split. The result must not depend
// on how the input is split, and what is held must stay within the limits.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

#include "eventio/eventio.h"

namespace {

using vanillatiller::ByteBudget;
using vanillatiller::ByteCharge;
using vanillatiller::ByteUse;
using vanillatiller::HttpReader;
using vanillatiller::ParsedMessage;

constexpr size_t kMaxHeaderBytes = 512;
constexpr size_t kMaxBodyBytes = 1024;
// Memory of the largest head and body: a list of fields of a few bytes each.
constexpr size_t kMaxMemory = size_t{64} << 10;

void Require(bool condition) {
  if (!condition) std::abort();
}

// Returns the messages read, and the end, as text.
std::vector<std::string> ReadAll(HttpReader::Kind kind, std::string_view input,
                                 size_t piece) {
  ByteBudget budget(kMaxMemory);
  std::vector<std::string> messages;
  HttpReader reader(kind, {kMaxHeaderBytes, kMaxBodyBytes},
                    ByteCharge(&budget, ByteUse::kServerAnswer));
  while (!input.empty()) {
    std::string_view data = input.substr(0, piece);
    input.remove_prefix(data.size());
    while (!data.empty()) {
      switch (reader.Read(&data)) {
        case HttpReader::Result::kNeedsMore:
          data = {};
          break;
        case HttpReader::Result::kMessage: {
          ParsedMessage message = reader.Take();
          Require(message.body.size() <= kMaxBodyBytes);
          message.headers.RemoveConnectionFields();
          messages.push_back(message.method + ' ' + message.target + ' ' +
                             std::to_string(message.status) + message.body);
          break;
        }
        case HttpReader::Result::kError:
        case HttpReader::Result::kTooLarge:
        case HttpReader::Result::kNoMemory:
          messages.emplace_back("refused");
          return messages;
      }
      Require(budget.used() <= kMaxMemory);
    }
  }
  return messages;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (size == 0) return 0;
  const auto kind = data[0] % 2 == 0 ? HttpReader::Kind::kRequests
                                     : HttpReader::Kind::kResponses;
  const size_t piece = 1 + data[0] / 2;
  const std::string_view input(reinterpret_cast<const char*>(data) + 1,
                               size - 1);
  const auto whole = ReadAll(kind, input, std::max<size_t>(input.size(), 1));
  const auto split = ReadAll(kind, input, piece);
  Require(whole == split);
  return 0;
}
