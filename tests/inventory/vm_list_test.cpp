#include "../common/answering_server.hpp"
#include "../common/endless_server.hpp"
#include "../common/odd_responses.hpp"
#include "../store/run_awaitable.hpp"

#include <fakes/http_server.hpp>
#include <jujubecart/core.hpp>
#include <jujubecart/inventory.hpp>

#include <criterion/criterion.h>

using namespace jujubecart;
using std::chrono::milliseconds;

namespace {

struct Fixture {
  boost::asio::io_context Context{1};
  int Requests = 0;
  dev::HttpServer Server{
      Context, 0,
      [this](dev::HttpRequest Message, boost::asio::ip::tcp::socket &) {
        return respond(std::move(Message));
      }};
  core::SystemSleeper Sleeper;
  inventory::VmListReader Reader{
      Context.get_executor(),
      Sleeper,
      [] { return std::uint64_t{0}; },
      {.Address = "127.0.0.1:" + std::to_string(Server.port()),
       .Interval = milliseconds(20)}};

  // The first request fails: the server closes the connection unanswered.
  core::Awaitable<std::optional<dev::HttpReply>>
  respond(dev::HttpRequest Message) {
    if (++Requests == 1 || Message.target() != "/vms")
      co_return std::nullopt;
    co_return dev::HttpReply{200, R"({"vms":[]})"};
  }
};

} // namespace

// Guards against one invalid item that makes the whole list unusable, and
// against a leaving VM that is read as live.
Test(ParseVmList, invalid_item_is_reported_and_left_out) {
  core::Findings Report("vms");
  const auto List = inventory::parseVmList(
      R"({"vms":[
        {"id":"e1","role":"entry","address":"10.0.0.1:7000","zone":"z",
         "region":"r","state":"leaving","rack":7},
        {"id":"b1","role":"backend","address":"10.0.0.2:80","zone":"z",
         "region":"r","state":"leaving"},
        {"id":"e2","role":"entry","address":"here","zone":"z","region":"r",
         "state":"live"}]})",
      Report);
  cr_assert_eq(List->EntryVms.size(), 1);
  cr_assert(List->EntryVms[0].State == core::MemberState::Leaving);
  cr_assert(List->BackendLeaving.at("b1"));
  cr_assert_eq(Report.items().size(), 1);
  cr_assert_eq(Report.items()[0].Pointer, "/vms/2/address");
  cr_assert_not(inventory::parseVmList("{}", Report).has_value());
}

// Guards against a reader that stops polling after a failed poll, or that
// continues to poll after stop().
Test(VmListReader, failed_poll_is_repeated_until_stopped) {
  Fixture Test;
  int Notifications = 0;
  Test.Reader.start([&](const inventory::VmList &) {
    if (++Notifications == 2)
      Test.Reader.stop();
  });
  Test.Context.run_for(milliseconds(1000));
  cr_assert_eq(Notifications, 2);
  cr_assert_eq(Test.Requests, 3);
}

// Guards against what answers at the platform's address with bytes without end:
// they would fill the memory of the VM until the timeout.
Test(FetchVmList, response_without_end_is_rejected_at_a_limit) {
  for (const tests::EndlessCase &Each : tests::endlessCases()) {
    tests::EndlessServer Server(Each.Start, Each.Repeated);
    boost::asio::io_context Context{1};
    const auto List = tests::runAwaitable(
        Context, inventory::fetchVmList(Server.address(),
                                        std::chrono::steady_clock::now() +
                                            std::chrono::seconds(20)));
    cr_assert_not(List.has_value(), "%s", Each.Name);
    // The largest list (4 MiB) and what the socket buffers of both sides take.
    cr_assert_leq(Server.Sent, 16U << 20U, "%s", Each.Name);
  }
}

// Guards against a list that is taken from bytes which are no HTTP response.
Test(FetchVmList, odd_response_is_rejected) {
  const std::string List = R"({"vms":[]})";
  const auto Fetch = [](const std::string &Answer) {
    const tests::AnsweringServer Server(Answer);
    boost::asio::io_context Context{1};
    return tests::runAwaitable(
        Context, inventory::fetchVmList(Server.address(),
                                        std::chrono::steady_clock::now() +
                                            std::chrono::seconds(20)));
  };
  cr_assert(Fetch("HTTP/1.1 200 OK\r\n\r\n" + List).has_value());
  for (const tests::OddResponse &Each : tests::oddResponses(List))
    cr_expect_not(Fetch(Each.Bytes).has_value(), "%s", Each.Name);
}
