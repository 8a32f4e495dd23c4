#include "../common/paced_server.hpp"
#include "../store/run_awaitable.hpp"

#include <jujubecart/platform/store_client.hpp>

#include <criterion/criterion.h>

using namespace jujubecart;
using namespace std::chrono_literals;
using core::Error;
using tests::PacedAnswer;

namespace {

// A store whose answers arrive slowly, and a client that reads it.
struct Fixture {
  explicit Fixture(tests::PacedServer::Handler Answer)
      : Server(std::move(Answer)) {}

  auto changes() {
    return tests::runAwaitable(
        Context,
        Client->waitForChanges(10, std::chrono::steady_clock::now() + 2ms));
  }
  auto list() {
    return tests::runAwaitable(
        Context, Client->list(core::ReadMode::Latest,
                              std::chrono::steady_clock::now() + 300ms));
  }

  tests::PacedServer Server;
  boost::asio::io_context Context{1};
  std::optional<platform::StoreClient> Client{
      std::in_place, Context.get_executor(),
      std::vector<std::string>{Server.address()}};
};

std::string event(int Revision, std::size_t ValueBytes) {
  return R"({"key":"a","value":")" + std::string(ValueBytes, 'A') +
         R"(","revision":)" + std::to_string(Revision) + "}";
}

std::string changesBody(std::size_t ValueBytes, int Versions = 1) {
  std::string Events;
  for (int Version = 0; Version < Versions; ++Version)
    Events += (Version == 0 ? "" : ",") + event(11 + Version, ValueBytes);
  return R"({"events":[)" + Events + R"(],"as-of":20})";
}

// A link with 320 KB a second.
PacedAnswer overSlowLink(const std::string &Body) {
  constexpr std::size_t PieceBytes = 16384;
  return {.Bytes = tests::httpAnswer(Body),
          .PieceBytes = PieceBytes,
          .Pause = 50ms};
}

constexpr std::size_t LargeValue = 400000;

} // namespace

// Guards against a VM with a slow link that never has a large change, because
// each read of it is cut at a total time and starts anew.
Test(SlowStore, changes_over_a_slow_link_are_read_to_their_end) {
  Fixture Setup(
      [](const auto &) { return overSlowLink(changesBody(LargeValue)); });
  const auto Changed = Setup.changes();
  Setup.Client.reset();
  cr_assert(Changed.has_value());
  cr_assert_eq(Changed->AsOf, 20);
  cr_assert_eq(Changed->Entries.at(0).Value->size(), LargeValue / 4 * 3);
}

// Guards against a list that is cut in the same way.
Test(SlowStore, list_over_a_slow_link_is_read_to_its_end) {
  Fixture Setup([](const auto &) {
    return overSlowLink(R"({"items":[)" + event(11, LargeValue) +
                        R"(],"has-more":false,"as-of":20})");
  });
  const auto Listed = Setup.list();
  Setup.Client.reset();
  cr_assert(Listed.has_value());
  cr_assert_eq(Listed->Entries.size(), 1);
}

// Guards against a store that holds the only reader by sending a few bytes at a
// time, in the head or in the body.
Test(SlowStore, answer_that_trickles_is_given_up_at_the_deadline) {
  for (const std::string &Bytes :
       {tests::httpAnswer(changesBody(LargeValue)),
        "HTTP/1.1 200 OK\r\nA: " + std::string(LargeValue, 'x')}) {
    Fixture Setup([&](const auto &) {
      return PacedAnswer{.Bytes = Bytes, .PieceBytes = 1, .Pause = 20ms};
    });
    const auto Begin = std::chrono::steady_clock::now();
    cr_assert_eq(Setup.changes().error(), Error::DeadlineExceeded);
    cr_assert_lt(std::chrono::steady_clock::now() - Begin, 1s);
    Setup.Client.reset();
  }
}

// Guards against a store that holds the reader by stopping in the middle of a
// large answer.
Test(SlowStore, answer_that_stops_in_the_middle_is_given_up_soon) {
  Fixture Setup([](const auto &) {
    return PacedAnswer{.Bytes = tests::httpAnswer(changesBody(LargeValue)),
                       .PieceBytes = LargeValue / 2,
                       .Pause = 0ms,
                       .StopsAfter = LargeValue / 2};
  });
  const auto Begin = std::chrono::steady_clock::now();
  cr_assert_eq(Setup.changes().error(), Error::DeadlineExceeded);
  cr_assert_lt(std::chrono::steady_clock::now() - Begin, 1500ms);
  Setup.Client.reset();
}

// Guards against an answer that is refused whatever the link: a VM that stood
// still is sent every version of a large value. A list has only the newest.
Test(SlowStore, changes_that_are_too_large_are_to_be_listed) {
  Fixture Setup([](const auto &) {
    return PacedAnswer{.Bytes = tests::httpAnswer(changesBody(LargeValue, 30)),
                       .PieceBytes = SIZE_MAX,
                       .Pause = 0ms};
  });
  cr_assert_eq(Setup.changes().error(), Error::HistoryLost);
  Setup.Client.reset();
}

// Guards against a value of the largest size that does not fit into an answer
// after its encoding.
Test(SlowStore, value_of_the_largest_size_is_read) {
  constexpr std::size_t EncodedMegabyte = 1398104;
  Fixture Setup([](const auto &) {
    return PacedAnswer{.Bytes = tests::httpAnswer(changesBody(EncodedMegabyte)),
                       .PieceBytes = SIZE_MAX,
                       .Pause = 0ms};
  });
  const auto Changed = Setup.changes();
  Setup.Client.reset();
  cr_assert(Changed.has_value());
  cr_assert_eq(Changed->Entries.at(0).Value->size(), EncodedMegabyte / 4 * 3);
}

// Guards against a list that begins anew after each page that fails, and never
// ends on a poor link; and against one that repeats a failing page without end.
Test(SlowStore, list_goes_on_from_the_page_that_failed) {
  for (const int Failures : {1, 2}) {
    std::vector<std::string> Targets;
    int Left = Failures;
    Fixture Setup([&](const std::string &Head) {
      const bool First = Head.find("after=") == std::string::npos;
      Targets.push_back(Head.substr(0, Head.find(' ', 4)));
      PacedAnswer Page{
          .Bytes = tests::httpAnswer(
              First ? R"({"items":[{"key":"a","value":"eA==","revision":3}],
                         "has-more":true,"as-of":10})"
                    : R"({"items":[{"key":"b","value":"eA==","revision":12}],
                         "has-more":false,"as-of":14})"),
          .PieceBytes = SIZE_MAX,
          .Pause = 0ms};
      if (!First && Left-- > 0)
        Page.StopsAfter = 10;
      return Page;
    });
    const auto Listed = Setup.list();
    Setup.Client.reset();
    if (Failures == 1) {
      cr_assert(Listed.has_value());
      cr_assert_eq(Listed->Entries.size(), 2);
      cr_assert_eq(Listed->AsOf, 10);
    } else {
      cr_assert_eq(Listed.error(), Error::DeadlineExceeded);
    }
    cr_assert_eq(Targets.size(), 3);
    cr_assert_neq(Targets[1].find("after=a"), std::string::npos);
    cr_assert_eq(Targets[1], Targets[2]);
  }
}

// Guards against an answer that counts as given when its last byte arrives: the
// other VMs would take the entries for confirmed until then.
Test(SlowStore, answer_states_when_it_began_to_arrive) {
  Fixture Setup(
      [](const auto &) { return overSlowLink(changesBody(LargeValue)); });
  const auto Begin = std::chrono::steady_clock::now();
  const auto Changed = Setup.changes();
  const auto End = std::chrono::steady_clock::now();
  Setup.Client.reset();
  cr_assert(Changed.has_value());
  cr_assert_gt(End - Begin, 900ms);
  cr_assert_geq(Changed->AnsweredAt, Begin);
  cr_assert_lt(Changed->AnsweredAt - Begin, 400ms);
}
