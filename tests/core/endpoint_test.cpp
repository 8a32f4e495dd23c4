#include <criterion/criterion.h>
#include <jujubecart/core/config_json.hpp>
#include <jujubecart/core/endpoint.hpp>

using namespace jujubecart::core;

// Guards against an address that the settings accept but a package rejects.
Test(ParseEndpoint, valid_address_is_parsed) {
  cr_assert_eq(parseEndpoint("127.0.0.1:80")->port(), 80);
  cr_assert(parseEndpoint("[::1]:443")->address().is_v6());
  cr_assert(isAddress("[::1]:443"));
}

// Guards against text that connects somewhere else or throws.
Test(ParseEndpoint, invalid_address_is_rejected) {
  for (const char *Text : {"", ":", "80", "localhost:80", "127.0.0.1",
                           "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:8x",
                           "127.0.0.1:-1", "[::1:443"})
    cr_expect(parseEndpoint(Text).has_error(), "%s", Text);
}

// Guards against a port that only a listener may have.
Test(IsAddress, port_zero_is_rejected) {
  cr_assert(parseEndpoint("127.0.0.1:0").has_value());
  cr_assert_not(isAddress("127.0.0.1:0"));
}
