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

using Outcome = std::optional<core::Result<void>>;

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
             .Sleeper = Shared.Run,
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

  core::Awaitable<void> claimInto(Vm &Via, std::uint64_t Key,
                                  std::uint64_t Request, Outcome &Result,
                                  core::TimePoint Deadline) {
    Result = co_await Via.Log.claim("orders", key(Key),
                                    core::RequestId{Request}, Deadline);
  }

  void start(Vm &Via, std::uint64_t Key, std::uint64_t Request, Outcome &Result,
             seconds Timeout = seconds(2)) {
    boost::asio::co_spawn(
        Run.context(),
        claimInto(Via, Key, Request, Result, Run.now() + Timeout),
        boost::asio::detached);
  }

  Outcome claim(Vm &Via, std::uint64_t Key, std::uint64_t Request) {
    Outcome Result;
    start(Via, Key, Request, Result);
    run(seconds(3));
    return Result;
  }

  void release(Vm &Via, std::uint64_t Key, std::uint64_t Request) {
    Via.Log.release("orders", key(Key), core::RequestId{Request});
    run(seconds(3));
  }

  void run(seconds Time) { Run.runUntil(Run.now() + Time); }
};

bool accepted(const Outcome &Claimed) {
  return Claimed && Claimed->has_value();
}

bool failedWith(const Outcome &Claimed, Error Code) {
  return Claimed && Claimed->has_error() && Claimed->error() == Code;
}

} // namespace

// Guards against an order that runs twice because a second request with the
// same key is accepted by the same or another VM.
Test(ClaimLog, repeated_key_is_refused_on_every_vm) {
  Fixture Test;
  cr_assert(accepted(Test.claim(Test.First, 1, 100)));
  cr_assert(accepted(Test.claim(Test.First, 1, 100)));
  cr_assert(failedWith(Test.claim(Test.First, 1, 101), Error::OrderRepeated));
  cr_assert(failedWith(Test.claim(Test.Second, 1, 102), Error::OrderRepeated));
  cr_assert(accepted(Test.claim(Test.Second, 1, 100)));
}

// Guards against two requests that both get a key because two VMs act as
// dispatcher at the same time.
Test(ClaimLog, only_one_of_two_simultaneous_claims_succeeds) {
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
    Fixture Test{Seed};
    Outcome One;
    Outcome Two;
    Test.start(Test.First, 1, 100, One);
    Test.start(Test.Second, 1, 200, Two);
    Test.run(seconds(3));
    cr_assert_neq(accepted(One), accepted(Two), "seed %lu", Seed);
  }
}

// Guards against a claim that is in the store but is refused, because the
// response to its write was lost.
Test(ClaimLog, lost_response_is_resolved_by_reading) {
  Fixture Test;
  cr_assert(accepted(Test.claim(Test.First, 1, 100)));
  Test.Shared.Faults.LostAnswer = 50;
  cr_assert(accepted(Test.claim(Test.First, 2, 101)) ||
            failedWith(Test.claim(Test.First, 2, 101), Error::Unavailable));
  Test.Shared.Faults.LostAnswer = 0;
  cr_assert(accepted(Test.claim(Test.Second, 2, 101)));
}

// Guards against a retry that is refused although the first attempt was not run
// and released its key, including a retry through a VM with an outdated view.
// A second release must not free the key of the next holder.
Test(ClaimLog, released_key_can_be_claimed_through_any_vm) {
  Fixture Test;
  cr_assert(accepted(Test.claim(Test.First, 1, 100)));
  cr_assert(failedWith(Test.claim(Test.Second, 1, 101), Error::OrderRepeated));
  Test.release(Test.First, 1, 100);
  cr_assert(accepted(Test.claim(Test.Second, 1, 101)));
  Test.release(Test.First, 1, 100);
  cr_assert(failedWith(Test.claim(Test.First, 1, 102), Error::OrderRepeated));
}

// Guards against a release that is discarded because the releasing VM has not
// read yet that another VM made the claim.
Test(ClaimLog, release_through_vm_with_outdated_view_takes_effect) {
  Fixture Test;
  cr_assert(accepted(Test.claim(Test.Second, 9, 900)));
  cr_assert(accepted(Test.claim(Test.First, 1, 100)));
  Test.release(Test.Second, 1, 100);
  cr_assert(accepted(Test.claim(Test.First, 1, 101)));
}

// Guards against an order that is sent although its claim could not be
// recorded, and against a refusal that waits for the deadline.
Test(ClaimLog, store_down_is_unavailable_before_the_deadline) {
  Fixture Test;
  Test.Shared.Faults.Outage = true;
  const auto Start = Test.Run.now();
  Outcome Claimed;
  Test.start(Test.First, 1, 100, Claimed);
  Test.Run.runUntil(Start + milliseconds(100));
  cr_assert(failedWith(Claimed, Error::Unavailable));
  Test.Shared.Faults.Outage = false;
  cr_assert(accepted(Test.claim(Test.First, 1, 101)));
}

// Guards against claims that are lost when the records of a full head are moved
// to a segment, or when a new VM reads the whole log.
Test(ClaimLog, claims_in_segments_are_found_by_a_new_vm) {
  Fixture Test;
  std::vector<Outcome> Outcomes(800);
  for (std::uint64_t Key = 0; Key < Outcomes.size(); ++Key)
    Test.start(Key % 2 == 0 ? Test.First : Test.Second, Key, 1000 + Key,
               Outcomes[Key], seconds(20));
  Test.run(seconds(21));
  for (const Outcome &Item : Outcomes)
    cr_assert(accepted(Item));
  cr_assert(Test.Shared.Model.get("claims/orders/2").has_value());
  Vm Third(Test.Shared, Test.Table, "vm-3", {});
  for (std::uint64_t Key = 0; Key < Outcomes.size(); Key += 37)
    cr_assert(
        failedWith(Test.claim(Third, Key, 5000 + Key), Error::OrderRepeated));
}

// Guards against keys that can be claimed again before their retention time has
// passed, and against keys that are never freed.
Test(ClaimLog, key_is_free_after_the_retention_time) {
  Fixture Test;
  cr_assert(accepted(Test.claim(Test.First, 1, 100)));
  Test.run(seconds(50));
  cr_assert(failedWith(Test.claim(Test.Second, 1, 101), Error::OrderRepeated));
  Test.run(seconds(90));
  cr_assert(accepted(Test.claim(Test.Second, 1, 101)));
}

// Guards against a table that grows without limit, and against a full table
// that is reported as a repeated key.
Test(ClaimLog, full_table_is_overloaded) {
  Fixture Test{1, core::OrderKeyMode::Durable, {.MaxEntries = 3}};
  for (std::uint64_t Key = 0; Key < 3; ++Key)
    cr_assert(accepted(Test.claim(Test.First, Key, Key)));
  cr_assert(failedWith(Test.claim(Test.First, 3, 3), Error::Overloaded));
}

// Guards against store calls for a service whose keys are kept in memory; such
// a service must work during an outage of the store.
Test(ClaimLog, memory_mode_works_without_store) {
  Fixture Test{1, core::OrderKeyMode::Memory};
  Test.Shared.Faults.Outage = true;
  cr_assert(accepted(Test.claim(Test.First, 1, 100)));
  cr_assert(failedWith(Test.claim(Test.First, 1, 101), Error::OrderRepeated));
  Test.release(Test.First, 1, 100);
  cr_assert(accepted(Test.claim(Test.First, 1, 101)));
  cr_assert_eq(Test.Shared.Model.values().size(), 0);
}

// Guards against a store that is overloaded by small batches: at most 100
// batches per second and service may be written.
Test(ClaimLog, batches_stay_within_the_write_rate) {
  Fixture Test;
  std::vector<Outcome> Outcomes(2000);
  for (std::uint64_t Key = 0; Key < Outcomes.size(); ++Key)
    Test.start(Test.First, Key, Key, Outcomes[Key], seconds(1));
  const auto Start = Test.Shared.Operations;
  Test.Run.runUntil(Test.Run.now() + milliseconds(1000));
  const auto Version = Test.Shared.Model.get("claims/orders/head")->Version;
  cr_assert_leq(Version, 101);
  cr_assert_gt(Test.Shared.Operations, Start);
}
