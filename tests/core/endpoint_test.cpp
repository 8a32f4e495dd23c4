#include <criterion/criterion.h>
#include <jujubecart/core/config_json.hpp>
#include <jujubecart/core/endpoint.hpp>

using namespace jujubecart::core;

// All packages parse addresses with parseEndpoint(). If the check of the
// settings differed from it, an accepted address would fail later.
Test(ParseEndpoint, valid_address_is_parsed) {
  cr_assert_eq(parseEndpoint("127.0.0.1:80")->port(), 80);
  cr_assert(parseEndpoint("[::1]:443")->address().is_v6());
  cr_assert(isAddress("[::1]:443"));
}

// Invalid text must be an error; it must neither give some other endpoint nor
// throw.
Test(ParseEndpoint, invalid_address_is_rejected) {
  for (const char *Text : {"", ":", "80", "localhost:80", "127.0.0.1",
                           "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:8x",
                           "127.0.0.1:-1", "[::1:443"})
    cr_expect(parseEndpoint(Text).has_error(), "%s", Text);
}

// Port 0 means "any free port" and is valid only for a listener, not for the
// address of a server.
Test(IsAddress, port_zero_is_rejected) {
  cr_assert(parseEndpoint("127.0.0.1:0").has_value());
  cr_assert_not(isAddress("127.0.0.1:0"));
}
