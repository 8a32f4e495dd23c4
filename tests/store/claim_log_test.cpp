#include <fakes/simulated_store.hpp>
#include <jujubecart/core.hpp>
#include <jujubecart/store.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <criterion/criterion.h>
#include <optional>

using namespace jujubecart;
using core::Error;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using Answer = std::optional<core::Result<void>>;

core::ConfigSource::Snapshot orders(core::OrderKeyMode Mode) {
  core::ServiceConfig Service;
  Service.Name = "orders";
  Service.Kind = core::ServiceKind::Order;
  Service.OrderKeys = Mode;
  Service.OrderKeyRetentionS = 60;
  return std::make_shared<core::ConfigSnapshot>(
      1, core::ConfigSnapshot::ServiceMap{
             {"orders", std::make_shared<core::ServiceEntry>(core::ServiceEntry{
                            .Changed = 1, .Service = Service})}});
}

struct Vm {
  Vm(dev::SimulatedStore &Shared, core::ConfigTable &Table, std::string Id,
     store::ClaimLogSettings Settings)
      : Client(Shared),
        Log(Shared.Run.context().get_executor(),
            {.Store = Client,
             .Config = Table,
             .Time = Shared.Run.clock(),
             .Delays = Shared.Run,
             .Random = [&Shared] { return Shared.Run.random(); }},
            withWriter(std::move(Settings), std::move(Id))) {}

  static store::ClaimLogSettings withWriter(store::ClaimLogSettings Settings,
                                            std::string Id) {
    Settings.Writer = std::move(Id);
    return Settings;
  }

  dev::SimulatedClient Client;
  store::ClaimLog Log;
};

struct Fixture {
  explicit Fixture(std::uint64_t Seed = 1,
                   core::OrderKeyMode Mode = core::OrderKeyMode::Durable,
                   store::ClaimLogSettings Settings = {})
      : Run(Seed), Settings(std::move(Settings)) {
    Table.apply(orders(Mode));
  }

  dev::Simulation Run;
  dev::SimulatedStore Shared{Run};
  core::ConfigTable Table;
  store::ClaimLogSettings Settings;
  Vm First{Shared, Table, "vm-1", Settings};
  Vm Second{Shared, Table, "vm-2", Settings};

  static core::OrderKey key(std::uint64_t Number) {
    return core::orderKey("orders", std::to_string(Number));
  }

  core::Awaitable<void> claimInto(Vm &By, std::uint64_t Key,
                                  std::uint64_t Request, Answer &Target,
                                  core::TimePoint Deadline) {
    Target = co_await By.Log.claim("orders", key(Key), core::RequestId{Request},
                                   Deadline);
  }

  void start(Vm &By, std::uint64_t Key, std::uint64_t Request, Answer &Target,
             seconds Timeout = seconds(2)) {
    boost::asio::co_spawn(
        Run.context(), claimInto(By, Key, Request, Target, Run.now() + Timeout),
        boost::asio::detached);
  }

  Answer claim(Vm &By, std::uint64_t Key, std::uint64_t Request) {
    Answer Target;
    start(By, Key, Request, Target);
    run(seconds(3));
    return Target;
  }

  void release(Vm &By, std::uint64_t Key, std::uint64_t Request) {
    By.Log.release("orders", key(Key), core::RequestId{Request});
    run(seconds(3));
  }

  void run(seconds Time) { Run.runUntil(Run.now() + Time); }
};

bool accepted(const Answer &Given) { return Given && Given->has_value(); }

bool failedWith(const Answer &Given, Error Code) {
  return Given && Given->has_error() && Given->error() == Code;
}

} // namespace

// Guards against an order that runs twice because its key is repeated through
// the same or another VM.
Test(ClaimLog, repeated_key_is_refused_on_every_vm) {
  Fixture Test;
  cr_assert(accepted(Test.claim(Test.First, 1, 100)));
  cr_assert(accepted(Test.claim(Test.First, 1, 100)));
  cr_assert(failedWith(Test.claim(Test.First, 1, 101), Error::OrderRepeated));
  cr_assert(failedWith(Test.claim(Test.Second, 1, 102), Error::OrderRepeated));
  cr_assert(accepted(Test.claim(Test.Second, 1, 100)));
}

// Guards against two winners when both VMs consider themselves dispatcher.
Test(ClaimLog, simultaneous_claims_have_one_winner) {
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
    Fixture Test{Seed};
    Answer One;
    Answer Two;
    Test.start(Test.First, 1, 100, One);
    Test.start(Test.Second, 1, 200, Two);
    Test.run(seconds(3));
    cr_assert_neq(accepted(One), accepted(Two), "seed %lu", Seed);
  }
}

// Guards against a claim reported as failed although a lost response hides it.
Test(ClaimLog, lost_answer_is_resolved_by_reading) {
  Fixture Test;
  cr_assert(accepted(Test.claim(Test.First, 1, 100)));
  Test.Shared.Faults.LostAnswer = 50;
  cr_assert(accepted(Test.claim(Test.First, 2, 101)) ||
            failedWith(Test.claim(Test.First, 2, 101), Error::Unavailable));
  Test.Shared.Faults.LostAnswer = 0;
  cr_assert(accepted(Test.claim(Test.Second, 2, 101)));
}

// Guards against a caller that is refused although its first attempt was
// certainly not run, also if another VM has an older view.
Test(ClaimLog, released_key_can_be_claimed_through_any_vm) {
  Fixture Test;
  cr_assert(accepted(Test.claim(Test.First, 1, 100)));
  cr_assert(failedWith(Test.claim(Test.Second, 1, 101), Error::OrderRepeated));
  Test.release(Test.First, 1, 100);
  cr_assert(accepted(Test.claim(Test.Second, 1, 101)));
  Test.release(Test.First, 1, 100);
  cr_assert(failedWith(Test.claim(Test.First, 1, 102), Error::OrderRepeated));
}

// Guards against a release that is lost because the claim was made by another
// VM.
Test(ClaimLog, release_through_vm_with_old_view_takes_effect) {
  Fixture Test;
  cr_assert(accepted(Test.claim(Test.Second, 9, 900)));
  cr_assert(accepted(Test.claim(Test.First, 1, 100)));
  Test.release(Test.Second, 1, 100);
  cr_assert(accepted(Test.claim(Test.First, 1, 101)));
}

// Guards against an order that is sent while the store cannot record it, and
// against a slow refusal.
Test(ClaimLog, store_down_is_unavailable_before_the_deadline) {
  Fixture Test;
  Test.Shared.Faults.Outage = true;
  const auto Start = Test.Run.now();
  Answer Given;
  Test.start(Test.First, 1, 100, Given);
  Test.Run.runUntil(Start + milliseconds(100));
  cr_assert(failedWith(Given, Error::Unavailable));
  Test.Shared.Faults.Outage = false;
  cr_assert(accepted(Test.claim(Test.First, 1, 101)));
}

// Guards against claims that disappear when a full head moves to a segment or
// a VM loads the log from the start.
Test(ClaimLog, claims_in_segments_are_found_by_a_new_vm) {
  Fixture Test;
  std::vector<Answer> Given(800);
  for (std::uint64_t Key = 0; Key < Given.size(); ++Key)
    Test.start(Key % 2 == 0 ? Test.First : Test.Second, Key, 1000 + Key,
               Given[Key], seconds(20));
  Test.run(seconds(21));
  for (const Answer &Item : Given)
    cr_assert(accepted(Item));
  cr_assert(Test.Shared.Model.get("claims/orders/2").has_value());
  Vm Third(Test.Shared, Test.Table, "vm-3", {});
  for (std::uint64_t Key = 0; Key < Given.size(); Key += 37)
    cr_assert(
        failedWith(Test.claim(Third, Key, 5000 + Key), Error::OrderRepeated));
}

// Guards against keys that are forgotten too early or kept for ever.
Test(ClaimLog, key_is_free_after_the_retention_window) {
  Fixture Test;
  cr_assert(accepted(Test.claim(Test.First, 1, 100)));
  Test.run(seconds(50));
  cr_assert(failedWith(Test.claim(Test.Second, 1, 101), Error::OrderRepeated));
  Test.run(seconds(90));
  cr_assert(accepted(Test.claim(Test.Second, 1, 101)));
}

// Guards against a table that grows without bound or a refusal that looks like
// a repeat.
Test(ClaimLog, full_table_is_overloaded) {
  Fixture Test{1, core::OrderKeyMode::Durable, {.MaxEntries = 3}};
  for (std::uint64_t Key = 0; Key < 3; ++Key)
    cr_assert(accepted(Test.claim(Test.First, Key, Key)));
  cr_assert(failedWith(Test.claim(Test.First, 3, 3), Error::Overloaded));
}

// Guards against store traffic in memory mode.
Test(ClaimLog, memory_mode_works_without_store) {
  Fixture Test{1, core::OrderKeyMode::Memory};
  Test.Shared.Faults.Outage = true;
  cr_assert(accepted(Test.claim(Test.First, 1, 100)));
  cr_assert(failedWith(Test.claim(Test.First, 1, 101), Error::OrderRepeated));
  Test.release(Test.First, 1, 100);
  cr_assert(accepted(Test.claim(Test.First, 1, 101)));
  cr_assert_eq(Test.Shared.Model.values().size(), 0);
}

// Guards against more than 100 batches per second and service.
Test(ClaimLog, batches_stay_within_the_write_rate) {
  Fixture Test;
  std::vector<Answer> Given(2000);
  for (std::uint64_t Key = 0; Key < Given.size(); ++Key)
    Test.start(Test.First, Key, Key, Given[Key], seconds(1));
  const auto Start = Test.Shared.Operations;
  Test.Run.runUntil(Test.Run.now() + milliseconds(1000));
  const auto Version = Test.Shared.Model.get("claims/orders/head")->Version;
  cr_assert_leq(Version, 101);
  cr_assert_gt(Test.Shared.Operations, Start);
}
