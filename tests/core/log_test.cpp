#include <criterion/criterion.h>
#include <jujubecart/core.hpp>

using namespace jujubecart::core;

// Guards against log forging with bytes that a caller controls.
Test(EscapeLogValue, line_break_and_quote_are_escaped) {
  cr_assert_eq(escapeLogValue("a\r\nlevel=ERROR"),
               "\"a\\x0d\\x0alevel=ERROR\"");
  cr_assert_eq(escapeLogValue("say \"x\""), "\"say \\\"x\\\"\"");
  cr_assert_eq(escapeLogValue("plain"), "plain");
  cr_assert_eq(escapeLogValue(""), "\"\"");
}

// Guards against two requests with the same id text.
Test(RequestId, text_round_trip_keeps_the_value) {
  const RequestId Id{0x00ab};
  cr_assert_eq(toString(Id), "00000000000000ab");
  cr_assert(parseRequestId(toString(Id)).value() == Id);
  cr_assert(parseRequestId("xyz").has_error());
}
