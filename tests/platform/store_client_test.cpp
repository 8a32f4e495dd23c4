#include "../store/run_awaitable.hpp"
#include "store_stand_in.hpp"

#include <jujubecart/core/store_era.hpp>
#include <jujubecart/platform/store_client.hpp>

#include <algorithm>
#include <criterion/criterion.h>

using namespace jujubecart;
using namespace std::chrono_literals;
using core::Error;
using tests::FakeStore;

namespace {

struct Fixture {
  explicit Fixture(FakeStore::Handler HandleRequest)
      : Store(std::move(HandleRequest)) {}

  FakeStore Store;
  boost::asio::io_context Context{1};
  platform::StoreClient Client{Context.get_executor(), {Store.address()}};

  [[nodiscard]] static core::TimePoint
  deadlineIn(std::chrono::milliseconds Delay) {
    return std::chrono::steady_clock::now() + Delay;
  }
  auto list(core::ReadMode Mode = core::ReadMode::Latest) {
    return tests::runAwaitable(Context, Client.list(Mode, deadlineIn(500ms)));
  }
  auto changes(core::Revision After) {
    return tests::runAwaitable(Context,
                               Client.waitForChanges(After, deadlineIn(100ms)));
  }
  auto put() {
    return tests::runAwaitable(Context,
                               Client.put("k", "value", deadlineIn(300ms)));
  }
  auto remove() {
    return tests::runAwaitable(
        Context,
        Client.remove({{.Key = "k", .Changed = 7}}, deadlineIn(300ms)));
  }
};

FakeStore::Handler respondWith(unsigned Status, const std::string &Body) {
  return [Status, Body](const std::string &, const std::string &) {
    return FakeStore::Response{Status, Body};
  };
}

} // namespace

// Guards against a list that ends with its first page, and against a revision
// of a later page that would skip changes made in between.
Test(StoreClient, list_reads_all_pages_as_of_the_first) {
  Fixture Setup([](const std::string &Target, const std::string &) {
    const bool First = Target.find("after=") == std::string::npos;
    return FakeStore::Response{
        200, First ? R"({"items":[{"key":"a","value":"eA==","revision":3}],
                         "has-more":true,"as-of":10})"
                   : R"({"items":[{"key":"b","value":"eXk=","revision":12}],
                         "has-more":false,"as-of":14})"};
  });
  const auto Listed = Setup.list();
  cr_assert(Listed.has_value());
  cr_assert_eq(Listed->AsOf, 10);
  cr_assert_eq(Listed->Entries.size(), 2);
  cr_assert_eq(*Listed->Entries[0].Value, "x");
  cr_assert_eq(*Listed->Entries[1].Value, "yy");
}

// Guards against missing changes, because the list states the revision of its
// first page although a later page was older.
Test(StoreClient, stale_list_is_as_of_its_oldest_page) {
  std::vector<std::string> Targets;
  Fixture Setup([&](const std::string &Target, const std::string &) {
    Targets.push_back(Target);
    const bool First = Target.find("after=") == std::string::npos;
    return FakeStore::Response{
        200, First ? R"({"items":[{"key":"a","value":"eA==","revision":3}],
                         "has-more":true,"as-of":10})"
                   : R"({"items":[{"key":"b","value":"eXk=","revision":4}],
                         "has-more":false,"as-of":7})"};
  });
  const auto Listed = Setup.list(core::ReadMode::Stale);
  cr_assert(Listed.has_value());
  cr_assert_eq(Listed->AsOf, 7);
  for (const std::string &Target : Targets)
    cr_assert(Target.find("allow-stale=1") != std::string::npos);
}

// Guards against taking a deletion for a value, or an unreadable value for a
// deletion.
Test(StoreClient, changes_contain_values_and_deletions) {
  Fixture Setup(
      respondWith(200, R"({"events":[{"key":"a","value":"eA==","revision":11},
               {"key":"b","revision":12,"tombstone":true},
               {"key":"c","value":"!!","revision":13},{"nokey":1}],
               "as-of":13})"));
  const auto Listed = Setup.changes(10);
  cr_assert(Listed.has_value());
  cr_assert_eq(Listed->AsOf, 13);
  cr_assert_eq(Listed->Entries.size(), 3);
  cr_assert(Listed->Entries[0].Value.has_value());
  cr_assert_not(Listed->Entries[1].Value.has_value());
  cr_assert_eq(*Listed->Entries[2].Value, "");
}

// Guards against a VM that misses changes: the store has discarded some of the
// history after the requested revision and says so with status 410.
Test(StoreClient, lost_history_is_reported) {
  Fixture Setup(respondWith(410, ""));
  cr_assert_eq(Setup.changes(10).error(), Error::HistoryLost);
}

// Guards against taking a failed or malformed response for an empty list.
Test(StoreClient, failed_or_malformed_responses_are_errors) {
  for (const unsigned Status : {429U, 503U, 500U}) {
    Fixture Setup(respondWith(Status, ""));
    cr_assert_eq(Setup.list().error(), Error::Unavailable);
  }
  for (const char *Body : {"", "[]", "{}", "{\"as-of\":\"x\"}"}) {
    Fixture Setup(respondWith(200, Body));
    cr_assert_eq(Setup.list().error(), Error::Malformed);
  }
}

// Guards against a request that waits forever for a store that does not
// respond.
Test(StoreClient, request_without_response_ends_at_the_deadline) {
  Fixture Setup(respondWith(1, ""));
  const auto Begin = std::chrono::steady_clock::now();
  cr_assert_eq(Setup.list().error(), Error::DeadlineExceeded);
  cr_assert(std::chrono::steady_clock::now() - Begin < 2s);
}

// Guards against taking a write for not executed although it may have been: the
// connection closed before the response.
Test(StoreClient, write_without_response_has_unknown_outcome) {
  Fixture Lost(respondWith(0, ""));
  cr_assert_eq(Lost.put().error(), Error::OutcomeUnknown);
  cr_assert_eq(Lost.Store.Calls, 1);
  Fixture Busy(respondWith(503, ""));
  cr_assert_eq(Busy.put().error(), Error::Unavailable);
}

// Guards against deleting an entry that was written again since it was read.
Test(StoreClient, changed_key_is_not_deleted) {
  std::string Sent;
  Fixture Changed([&](const std::string &, const std::string &Body) {
    Sent = Body;
    return FakeStore::Response{412, R"({"items":[]})"};
  });
  cr_assert_eq(Changed.remove().error(), Error::Conflict);
  cr_assert_eq(Sent, R"({"expect":[{"key":"k","revision":7}],"remove":["k"]})");
}

// Guards against a VM that stops following the store because one item of a
// response is odd: nested very deeply, or with a number that is too large.
Test(StoreClient, odd_item_does_not_hide_the_others) {
  constexpr std::size_t Depth = 200000;
  const std::string Nested = std::string(Depth, '[') + std::string(Depth, ']');
  for (const std::string &Odd :
       {"{\"value\":" + Nested + "}", "{\"key\":" + Nested + "}", Nested,
        std::string("{\"key\":\"servers/x\",\"value\":7,"
                    "\"revision\":99999999999999999999999}")}) {
    Fixture Setup(respondWith(
        200, "{\"events\":[" + Odd +
                 ",{\"key\":\"a\",\"value\":\"eA==\",\"revision\":9}],"
                 "\"as-of\":9}"));
    const auto Changed = Setup.changes(8);
    cr_assert(Changed.has_value());
    cr_assert(std::any_of(Changed->Entries.begin(), Changed->Entries.end(),
                          [](const core::StoredEntry &Entry) {
                            return Entry.Key == "a" && Entry.Value == "x";
                          }));
    cr_assert_eq(Changed->AsOf, 9);
  }
}

// Guards against a list whose pages never end: a store that repeats a page
// would be read until the deadline, and the entries would fill the memory of
// the VM.
Test(StoreClient, list_whose_pages_do_not_advance_is_malformed) {
  Fixture Setup(respondWith(
      200, R"({"items":[{"key":"a","value":"eA==","revision":3}],"as-of":3,)"
           R"("has-more":true})"));
  cr_assert(Setup.list().error() == Error::Malformed);
  cr_assert_leq(Setup.Store.Calls, 2);
}

namespace {

constexpr const char *OneItem =
    R"({"items":[{"key":"a","value":"eA==","revision":3}],"as-of":5,
        "events":[{"key":"a","value":"eA==","revision":12}]})";

FakeStore::Handler respondInEra(const std::string &Era) {
  return [Era](const std::string &, const std::string &) {
    return FakeStore::Response{200, OneItem, Era};
  };
}

} // namespace

// Guards against an entry that counts as older than one of an earlier era,
// because the store gives out revisions again.
Test(StoreClient, era_is_the_high_part_of_revisions) {
  Fixture Setup(respondInEra("2"));
  const auto Listed = Setup.list();
  cr_assert(Listed.has_value());
  cr_assert_eq(Listed->AsOf, core::makeRevision(2, 5));
  cr_assert_eq(Listed->Entries[0].Changed, core::makeRevision(2, 3));
  cr_assert_gt(Listed->AsOf, core::makeRevision(1, 1000000));
}

// Guards against a store that gets revisions that it never gave out.
Test(StoreClient, store_gets_revisions_without_their_era) {
  std::vector<std::string> Sent;
  Fixture Setup([&](const std::string &Target, const std::string &Body) {
    Sent.push_back(Target + Body);
    return FakeStore::Response{200, OneItem, "2"};
  });
  cr_assert(Setup.changes(core::makeRevision(2, 10)).has_value());
  cr_assert(Sent.back().find("after=10&") != std::string::npos);
  (void)tests::runAwaitable(
      Setup.Context,
      Setup.Client.remove({{.Key = "k", .Changed = core::makeRevision(2, 7)}},
                          Fixture::deadlineIn(300ms)));
  cr_assert(Sent.back().find("\"revision\":7}") != std::string::npos);
}

// Guards against a VM that continues with the changes after a revision that the
// store has given out again.
Test(StoreClient, changes_of_another_era_are_lost_history) {
  Fixture Setup(respondInEra("2"));
  cr_assert_eq(Setup.changes(core::makeRevision(1, 4)).error(),
               Error::HistoryLost);
}

// Guards against a late answer of the store from before it came back from a
// copy, which would bring the older entries back.
Test(StoreClient, answer_of_an_earlier_era_is_refused) {
  std::string Era = "2";
  Fixture Setup([&](const std::string &, const std::string &) {
    return FakeStore::Response{200, OneItem, Era};
  });
  cr_assert(Setup.list().has_value());
  Era = "1";
  cr_assert_eq(Setup.list().error(), Error::Unavailable);
  cr_assert_eq(Setup.changes(core::makeRevision(1, 4)).error(),
               Error::Unavailable);
  cr_assert_eq(Setup.put().error(), Error::OutcomeUnknown);
}

// Guards against the removal of an entry that got the expected revision again
// in another era.
Test(StoreClient, entry_of_an_earlier_era_is_not_removed) {
  Fixture Setup(respondInEra("2"));
  cr_assert(Setup.list().has_value());
  cr_assert_eq(Setup.remove().error(), Error::Conflict);
  cr_assert_eq(Setup.Store.Calls, 1);
}

// Guards against a list whose pages come from before and after the return of
// the store.
Test(StoreClient, list_across_eras_is_read_again) {
  int Calls = 0;
  Fixture Setup([&](const std::string &, const std::string &) {
    ++Calls;
    const std::string Era = Calls == 1 ? "1" : "2";
    const bool First = Calls == 1 || Calls == 3;
    return FakeStore::Response{
        200,
        First ? R"({"items":[{"key":"a","value":"eA==","revision":3}],
                    "has-more":true,"as-of":10})"
              : R"({"items":[{"key":"b","value":"eXk=","revision":4}],
                    "has-more":false,"as-of":8})",
        Era};
  });
  const auto Listed = Setup.list();
  cr_assert(Listed.has_value());
  cr_assert_eq(Calls, 4);
  cr_assert_eq(Listed->Entries.size(), 2);
  cr_assert_eq(Listed->AsOf, core::makeRevision(2, 8));
}
