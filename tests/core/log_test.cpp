#include <criterion/criterion.h>
#include <jujubecart/core.hpp>

using namespace jujubecart::core;

// Log injection: a caller could forge log lines or fields if line breaks and
// quotes in its input were written unescaped.
Test(EscapeLogValue, line_break_and_quote_are_escaped) {
  cr_assert_eq(escapeLogValue("a\r\nlevel=ERROR"),
               "\"a\\x0d\\x0alevel=ERROR\"");
  cr_assert_eq(escapeLogValue("say \"x\""), "\"say \\\"x\\\"\"");
  cr_assert_eq(escapeLogValue("plain"), "plain");
  cr_assert_eq(escapeLogValue(""), "\"\"");
}

// Without leading zeros, or with a lossy conversion, ids would not survive the
// round trip and two requests could have the same id text.
Test(RequestId, text_round_trip_keeps_the_value) {
  const RequestId Id{0x00ab};
  cr_assert_eq(toString(Id), "00000000000000ab");
  cr_assert(parseRequestId(toString(Id)).value() == Id);
  cr_assert(parseRequestId("xyz").has_error());
}
