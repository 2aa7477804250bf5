#include "relay/server_notice.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"

namespace vanillatiller {
namespace {

// A number has a few digits; anything longer is another kind of text.
constexpr size_t kMaxNumberBytes = 40;
// Length of an unreadable value in the log.
constexpr size_t kMaxLoggedBytes = 40;
constexpr std::string_view kLeavingValue = "1";

std::optional<double> ParseRate(std::string_view text) {
  if (text.size() > kMaxNumberBytes) return std::nullopt;
  // Excludes names such as "inf", and hexadecimal numbers.
  const bool is_decimal = std::all_of(text.begin(), text.end(), [](char c) {
    return absl::ascii_isdigit(static_cast<unsigned char>(c)) || c == '.' ||
           c == 'e' || c == 'E' || c == '+' || c == '-';
  });
  double rate = 0;
  if (!is_decimal ||
      !absl::SimpleAtod(absl::string_view(text.data(), text.size()), &rate)) {
    return std::nullopt;
  }
  if (!std::isfinite(rate) || rate < 0) return std::nullopt;
  return rate;
}

}  // namespace

ServerNotice ReadServerNotice(const HttpHeaders& headers,
                              const ProtocolNames& names) {
  ServerNotice notice;
  notice.is_leaving = headers.Find(names.server_leaving) == kLeavingValue;
  const auto rate = headers.Find(names.server_rate_limit);
  if (!rate) return notice;
  notice.rate_limit = ParseRate(*rate);
  notice.is_unreadable = !notice.rate_limit;
  if (notice.is_unreadable) {
    notice.unreadable = std::string(rate->substr(0, kMaxLoggedBytes));
  }
  return notice;
}

}  // namespace vanillatiller
