#include <criterion/criterion.h>
#include <jujubecart/core/duration_text.hpp>

using jujubecart::core::parseMilliseconds;

// Guards against a time that is read with the wrong unit.
Test(DurationText, times_in_both_units_are_milliseconds) {
  cr_assert(parseMilliseconds("1500ms") == 1500U);
  cr_assert(parseMilliseconds("2.5s") == 2500U);
  cr_assert(parseMilliseconds("0ms") == 0U);
}

// Guards against text that is taken for a time of zero or of any length.
Test(DurationText, other_text_is_no_time) {
  for (const char *Text : {"", "ms", "1500", "2m", "-1s", "1500 msx", "1e300s",
                           "5000000s", "nan s"})
    cr_assert_not(parseMilliseconds(Text).has_value(), "%s", Text);
}
