#include <criterion/criterion.h>
#include <jujubecart/core/duration_text.hpp>

using jujubecart::core::parseMilliseconds;

// Both units must give milliseconds; a confused unit changes a timeout by a
// factor of 1000.
Test(DurationText, ms_and_s_give_milliseconds) {
  cr_assert(parseMilliseconds("1500ms") == 1500U);
  cr_assert(parseMilliseconds("2.5s") == 2500U);
  cr_assert(parseMilliseconds("0ms") == 0U);
}

// Invalid text and values out of range must be rejected; a parser that accepts
// them would give a duration of zero or an arbitrary one.
Test(DurationText, invalid_text_is_rejected) {
  for (const char *Text : {"", "ms", "1500", "2m", "-1s", "1500 msx", "1e300s",
                           "5000000s", "nan s"})
    cr_assert_not(parseMilliseconds(Text).has_value(), "%s", Text);
}
