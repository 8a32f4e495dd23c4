#include <jujubecart/core/http_rules.hpp>

#include "../common/odd_responses.hpp"

#include <criterion/criterion.h>

using namespace jujubecart;

// Guards against a reader that takes bytes for a response which are none, or
// whose head two parsers read differently. All readers of responses use this
// rule.
Test(ResponseHead, odd_head_is_invalid) {
  for (const tests::OddResponse &Each : tests::oddResponses()) {
    const std::string Head =
        Each.Bytes.substr(0, Each.Bytes.find("\r\n\r\n") + 4);
    cr_expect_not_null(core::validateResponseHead(Head), "%s", Each.Name);
  }
}

// Guards against a rule that refuses what servers may send.
Test(ResponseHead, unusual_but_valid_head_is_valid) {
  for (const std::string Line :
       {"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 200 ",
        "HTTP/1.1 100 Continue", "HTTP/1.1 599 Own", "HTTP/1.1 204 \xe9"})
    cr_expect_null(core::validateResponseHead(
                       Line +
                       "\r\nA:b\r\nC: \t d \r\nE!#$%&'*+-.^_`|~: \xff\r\n"
                       "F:\r\nContent-Length: 0\r\n\r\n"),
                   "%s", Line.c_str());
}
