#include "../../apps/jujubecartd/http_health_prober.hpp"
#include "../common/answering_server.hpp"
#include "../common/endless_server.hpp"
#include "../common/odd_responses.hpp"
#include "../store/run_awaitable.hpp"

#include <criterion/criterion.h>

using namespace jujubecart;

// Guards against a faulty backend server whose response to a health request has
// no end: it would fill the memory of the VM that probes it.
Test(HttpHealthProber, response_without_end_is_rejected_at_a_limit) {
  for (const tests::EndlessCase &Each : tests::endlessCases()) {
    tests::EndlessServer Server(Each.Start, Each.Repeated);
    boost::asio::io_context Context{1};
    daemon::HttpHealthProber Prober;
    const auto Result = tests::runAwaitable(
        Context, Prober.probe({.Id = "s", .Address = Server.address()},
                              std::chrono::steady_clock::now() +
                                  std::chrono::seconds(20)));
    cr_assert(Result.State == decision::ProbeState::Unreachable, "%s",
              Each.Name);
    cr_assert_leq(Server.Sent, 8U << 20U, "%s", Each.Name);
  }
}

// Guards against a backend server that counts as healthy although what it sends
// is no HTTP response.
Test(HttpHealthProber, odd_response_is_no_sign_of_health) {
  const std::string Healthy = R"({"state":"ok"})";
  const auto Probe = [](const std::string &Answer) {
    const tests::AnsweringServer Server(Answer);
    boost::asio::io_context Context{1};
    daemon::HttpHealthProber Prober;
    return tests::runAwaitable(
               Context, Prober.probe({.Id = "s", .Address = Server.address()},
                                     std::chrono::steady_clock::now() +
                                         std::chrono::seconds(20)))
        .State;
  };
  cr_assert(Probe("HTTP/1.1 200 OK\r\n\r\n" + Healthy) ==
            decision::ProbeState::Ok);
  for (const tests::OddResponse &Each : tests::oddResponses(Healthy))
    cr_expect(Probe(Each.Bytes) == decision::ProbeState::Unreachable, "%s",
              Each.Name);
}
