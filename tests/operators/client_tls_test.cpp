#include "../common/certificates.hpp"
#include "fake_api.hpp"

#include <criterion/criterion.h>
#include <jujubecart/operators/client.hpp>

using namespace jujubecart;
using namespace jujubecart::test;

namespace {

/// @brief Server with TLS on a free loopback port.
struct TlsFixture {
  [[nodiscard]] operators::TlsFiles filesOf(const std::string &Name,
                                            const std::string &Ca) const {
    return {.Certificate = Files.path(Name + ".pem"),
            .Key = Files.path(Name + ".key"),
            .Ca = Files.path(Ca + ".pem")};
  }
  [[nodiscard]] auto fetch(const operators::TlsFiles &Tls) const {
    return operators::Client("127.0.0.1:" + std::to_string(Port), Tls,
                             std::chrono::seconds(5))
        .fetch("/status");
  }

  tests::Certificates Files;
  FakeApi Endpoints;
  std::uint16_t Port = freePort();
  operators::Server Http{"127.0.0.1", Port, filesOf("good", "ca"), Endpoints};
};

} // namespace

// Guards against a command that cannot talk to a server with TLS, and one that
// ends with an exception because its certificate cannot be read.
Test(OperatorClientTls, certificate_of_the_same_ca_is_accepted) {
  const TlsFixture Fixture;
  cr_assert_eq(Fixture.fetch(Fixture.filesOf("good", "ca"))->Body, "{}");
  cr_assert_not(Fixture.fetch(Fixture.filesOf("missing", "ca")).has_value());
}

// Guards against a client without a valid certificate, against talking to a
// server of another CA, and against a server that does not end afterwards.
Test(OperatorClientTls, failed_handshake_ends_without_a_response) {
  const TlsFixture Fixture;
  cr_assert_not(Fixture.fetch(Fixture.filesOf("foreign", "ca")).has_value());
  cr_assert_not(Fixture.fetch(Fixture.filesOf("good", "other")).has_value());
  cr_assert_not(Fixture.fetch({}).has_value());
}
