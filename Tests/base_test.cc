#define BOOST_TEST_MODULE base
#include "base/base.h"

#include <boost/test/unit_test.hpp>

namespace vanillatiller {
namespace {

// Guards against identities that change when they are printed and parsed.
BOOST_AUTO_TEST_CASE(WideIdRoundTrip) {
  const WideId id{0x0123456789abcdefULL, 0xfULL};
  BOOST_TEST(id.ToString() == "0123456789abcdef000000000000000f");
  BOOST_TEST((ParseWideId(id.ToString()) == id));
}

// Guards against malformed identities being taken for valid ones.
BOOST_AUTO_TEST_CASE(MalformedWideIds) {
  for (const char* text :
       {"", "0", "0123456789abcdef000000000000000",
        "g123456789abcdef00000000000000ff", "+123456789abcdef00000000000000ff",
        "0123456789abcdef0000000000000000ff"}) {
    BOOST_TEST(!ParseWideId(text).has_value(), text);
  }
}

// Guards against a refusal code without a name of its own.
BOOST_AUTO_TEST_CASE(RefusalNames) {
  BOOST_TEST(RefusalCodeName(RefusalCode::kFenced) == "fenced");
  BOOST_TEST(RefusalCodeName(static_cast<RefusalCode>(200)) == "unknown");
}

// Guards against findings that lose their place.
BOOST_AUTO_TEST_CASE(FindingsFormat) {
  const Findings findings = {{"a.toml", 3, 7, "bad"}, {"b.toml", 0, 0, "gone"}};
  BOOST_TEST(FormatFindings(findings) == "a.toml:3:7: bad\nb.toml: gone\n");
}

// Guards against a clock that goes back or a negative time left that wraps.
BOOST_AUTO_TEST_CASE(Clock) {
  const TimePoint first = BootClock::now();
  BOOST_TEST((BootClock::now() >= first));
  BOOST_TEST(ToMicroseconds(std::chrono::milliseconds(-5)) == 0U);
  BOOST_TEST(ToMicroseconds(std::chrono::milliseconds(5)) == 5000U);
}

}  // namespace
}  // namespace vanillatiller
