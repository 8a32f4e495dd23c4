#include "fleet.hpp"

#include <algorithm>
#include <criterion/criterion.h>
#include <jujubecart/core/store_era.hpp>
#include <jujubecart/peers/store_relay.hpp>

using namespace jujubecart;
using namespace jujubecart::peers;
using namespace jujubecart::peers::test;
using namespace std::chrono_literals;

namespace {

/// @brief One VM that records the store changes it receives from others.
struct RelayNode {
  RelayNode(IoThreads &Context, std::size_t At, std::uint32_t Capacity = 1000)
      : Node(Context, options(At, Capacity)),
        Relay(*Node.Links, Node.Members, Node.Clock) {
    Node.Links->subscribe(Relay);
    Relay.setChangeHandler([this](const core::ReportedChanges &Report) {
      {
        const std::lock_guard Lock(Mutex);
        Received.push_back(Report.Changes);
        ReadTimes.push_back(Report.ReadAt);
        CompleteTimes.push_back(Report.CompleteUntil);
      }
      if (Report.PassOn)
        Relay.broadcast(Report.Changes, Report.ReadAt, Report.CompleteUntil);
    });
    Node.start();
  }

  static PeerOptions options(std::size_t At, std::uint32_t Capacity) {
    PeerOptions Result = fleetOptions(At);
    Result.Self.ProcessorMilli = Capacity;
    return Result;
  }

  std::vector<core::EntryChanges> received() {
    const std::lock_guard Lock(Mutex);
    return Received;
  }

  std::vector<core::TimePoint> readTimes() {
    const std::lock_guard Lock(Mutex);
    return ReadTimes;
  }

  std::vector<std::optional<std::chrono::milliseconds>> completeTimes() {
    const std::lock_guard Lock(Mutex);
    return CompleteTimes;
  }

  /// @brief Broadcasts what this VM has just got from the store.
  void broadcast(const core::EntryChanges &Changes) {
    Relay.broadcast(Changes, Node.Clock.now());
  }

  ControlNode Node;
  StoreRelay Relay;
  std::mutex Mutex;
  std::vector<core::EntryChanges> Received;
  std::vector<core::TimePoint> ReadTimes;
  std::vector<std::optional<std::chrono::milliseconds>> CompleteTimes;
};

/// @brief Two VMs with an open link.
struct Fixture {
  Fixture() {
    First.Node.Links->connectInBackground(Second.Node.Members.self().Id,
                                          Second.Node.Members.self().Address);
    cr_assert(eventually([&] {
      return First.Node.Links->find(Second.Node.Members.self().Id) != nullptr &&
             First.Node.Members.members().size() == 2 &&
             Second.Node.Members.members().size() == 2;
    }));
  }
  ~Fixture() {
    First.Node.stop();
    Second.Node.stop();
    std::this_thread::sleep_for(20ms);
    Context.stop();
  }

  static core::EntryChanges changes(core::Revision After, core::Revision AsOf,
                                    std::vector<core::StoredEntry> Entries) {
    return {.After = After,
            .List = {.Entries = std::move(Entries), .AsOf = AsOf}};
  }

  IoThreads Context{2};
  RelayNode First{Context, 0};
  RelayNode Second{Context, 1};
};

} // namespace

// Guards against an encoding that loses or mixes up values, e.g. one with a NUL
// byte, an empty one or a deletion.
Test(StoreRelay, shared_changes_reach_the_other_vm_unchanged) {
  Fixture Pair;
  const core::EntryChanges Sent = Fixture::changes(
      4, 7,
      {{.Key = "a", .Value = std::string("x\0y", 3), .Changed = 5},
       {.Key = "b", .Value = std::nullopt, .Changed = 6},
       {.Key = "c", .Value = "", .Changed = 7}});
  Pair.First.broadcast(Sent);
  cr_assert(eventually([&] { return !Pair.Second.received().empty(); }));
  cr_assert(Pair.Second.received().front() == Sent);
}

// Guards against changes that are sent again with each later broadcast because
// the sender does not record what the peer has received.
Test(StoreRelay, later_broadcast_has_only_new_changes) {
  Fixture Pair;
  Pair.First.broadcast(
      Fixture::changes(4, 5, {{.Key = "a", .Value = "1", .Changed = 5}}));
  Pair.First.broadcast(
      Fixture::changes(5, 6, {{.Key = "b", .Value = "2", .Changed = 6}}));
  Pair.First.broadcast(Fixture::changes(6, 6, {}));
  cr_assert(eventually([&] { return Pair.Second.received().size() >= 3; }));
  const auto Received = Pair.Second.received();
  cr_assert_eq(Received[1].After, 5);
  cr_assert_eq(Received[1].List.Entries.size(), 1);
  cr_assert_eq(Received[2].After, 6);
  cr_assert(Received[2].List.Entries.empty());
}

// Guards against a receiver that treats changes as complete although revisions
// between two reads of the sender are missing.
Test(StoreRelay, history_with_a_gap_starts_after_the_gap) {
  Fixture Pair;
  Pair.First.broadcast(
      Fixture::changes(4, 5, {{.Key = "a", .Value = "1", .Changed = 5}}));
  Pair.First.broadcast(
      Fixture::changes(20, 21, {{.Key = "b", .Value = "2", .Changed = 21}}));
  cr_assert(eventually([&] { return Pair.Second.received().size() == 2; }));
  cr_assert_eq(Pair.Second.received()[1].After, 20);
}

// Guards against a fleet whose VMs all list the entries when the store came
// back from a copy, because they get only some of them.
Test(StoreRelay, changes_to_another_era_are_shared_as_a_whole) {
  constexpr std::uint64_t Count = 600;
  Fixture Pair;
  Pair.First.broadcast(
      Fixture::changes(4, 5, {{.Key = "a", .Value = "1", .Changed = 5}}));
  std::vector<core::StoredEntry> Entries;
  for (std::uint64_t Number = 1; Number <= Count; ++Number)
    Entries.push_back({.Key = std::to_string(Number),
                       .Value = "1",
                       .Changed = core::makeRevision(1, Number)});
  Pair.First.broadcast(
      Fixture::changes(5, core::makeRevision(1, Count), Entries));
  cr_assert(eventually([&] { return Pair.Second.received().size() == 2; }));
  cr_assert_eq(Pair.Second.received()[1].After, 5);
  cr_assert_eq(Pair.Second.received()[1].List.Entries.size(), Count);
}

// Guards against a receiver that keeps an entry for good, because neither the
// VM that read a list nor the changes sent before show its deletion, and
// against the changes from lists of several VMs that are sent whole for each of
// them.
Test(StoreRelay, list_adds_only_what_follows_the_changes_sent_before) {
  Fixture Pair;
  Pair.First.broadcast(
      Fixture::changes(4, 300,
                       {{.Key = "a", .Value = "1", .Changed = 50},
                        {.Key = "b", .Value = "1", .Changed = 200},
                        {.Key = "c", .Value = "1", .Changed = 250}}));
  core::EntryChanges Listed =
      Fixture::changes(100, 500,
                       {{.Key = "c", .Value = "1", .Changed = 250},
                        {.Key = "d", .Value = "1", .Changed = 400}});
  Listed.Listed = {.After = 100, .UpTo = 500};
  Pair.First.broadcast(Listed);
  Pair.First.broadcast(Fixture::changes(500, 500, {}));
  cr_assert(eventually([&] { return Pair.Second.received().size() == 3; }));
  const auto Received = Pair.Second.received();
  core::EntryChanges Expected =
      Fixture::changes(300, 500,
                       {{.Key = "d", .Value = "1", .Changed = 400},
                        {.Key = "b", .Value = std::nullopt, .Changed = 500}});
  Expected.Listed = {.After = 300, .UpTo = 500};
  cr_assert(Received[1] == Expected);
  cr_assert(Received[2] == Fixture::changes(500, 500, {}));
}

// Guards against VMs that compute different rankings, so that two of them read
// the store on behalf of all.
Test(StoreRelay, vms_agree_on_reader_rank) {
  Fixture Pair;
  cr_assert_neq(Pair.First.Relay.readerRank(), Pair.Second.Relay.readerRank());
  cr_assert_lt(Pair.First.Relay.readerRank(), 2);
}

// Guards against a receiver that takes changes for as new as their arrival,
// although they waited at the sender or on the way.
Test(StoreRelay, receiver_knows_when_changes_were_read) {
  Fixture Pair;
  const core::TimePoint ReadAt = Pair.First.Node.Clock.now() - 700ms;
  Pair.First.Relay.broadcast(Fixture::changes(4, 4, {}), ReadAt);
  cr_assert(eventually([&] { return !Pair.Second.readTimes().empty(); }));
  const auto Difference = Pair.Second.readTimes().front() - ReadAt;
  // Both VMs are on one machine, so that their clocks agree.
  cr_assert_lt(Difference, 100ms);
  cr_assert_gt(Difference, -100ms);
}

// Guards against entries that count as complete up to a later instant than the
// sender knows, and against a statement where none was made.
Test(StoreRelay, receiver_knows_up_to_when_changes_are_complete) {
  Fixture Pair;
  const core::TimePoint Now = Pair.First.Node.Clock.now();
  const auto Until = Pair.First.Node.Clock.uptime() - 3s;
  Pair.First.Relay.broadcast(Fixture::changes(4, 4, {}), Now, Until);
  Pair.First.Relay.broadcast(Fixture::changes(4, 4, {}), Now);
  cr_assert(
      eventually([&] { return Pair.Second.completeTimes().size() == 2; }));
  const auto Received = Pair.Second.completeTimes();
  // Both VMs are on one machine, so that their clocks agree.
  cr_assert_leq(Received[0]->count(), Until.count() + 1);
  cr_assert_geq(Received[0]->count(), (Until - 500ms).count());
  cr_assert_not(Received[1].has_value());
}

namespace {

/// @brief Fleet that is large enough for relays, some of whose VMs are small.
struct RelayedFleet {
  static constexpr std::size_t Size = 30;
  static constexpr std::size_t Large = 6;

  RelayedFleet() {
    std::vector<core::Member> All;
    All.reserve(Size);
    for (std::size_t At = 0; At < Size; ++At)
      Nodes.push_back(
          std::make_unique<RelayNode>(Context, At, At < Large ? 500U : 100U));
    for (const auto &Item : Nodes)
      All.push_back(Item->Node.Members.self());
    for (const auto &Item : Nodes)
      Item->Node.Members.update(All);
    cr_assert(eventually([&] {
      return std::all_of(Nodes.begin(), Nodes.end(), [](const auto &Item) {
        return Item->Node.live() == Size;
      });
    }));
  }
  ~RelayedFleet() {
    for (const auto &Item : Nodes)
      Item->Node.stop();
    std::this_thread::sleep_for(20ms);
    Context.stop();
  }

  /// @brief Whether every VM but the sender has changes up to a revision.
  [[nodiscard]] bool allHave(std::size_t Sender, core::Revision AsOf) {
    for (std::size_t At = 0; At < Size; ++At) {
      const auto Received = Nodes[At]->received();
      if (At != Sender &&
          std::none_of(Received.begin(), Received.end(), [&](const auto &Each) {
            return Each.List.AsOf == AsOf;
          }))
        return false;
    }
    return true;
  }

  /// @brief Frames with changes that a VM has sent.
  [[nodiscard]] std::uint64_t framesSent(std::size_t At) const {
    return Nodes[At]
        ->Node.Links->counters()
        .Out[Message(StoreChanges()).index()]
        .Frames;
  }

  IoThreads Context{2};
  std::vector<std::unique_ptr<RelayNode>> Nodes;
};

} // namespace

// Guards against a VM that sends each change to the whole fleet itself, so that
// the time until the last VM has it grows with the fleet.
Test(StoreRelay, changes_reach_a_large_fleet_through_relays) {
  RelayedFleet Fleet;
  constexpr std::size_t Reader = 0;
  Fleet.Nodes[Reader]->broadcast(
      Fixture::changes(4, 5, {{.Key = "a", .Value = "1", .Changed = 5}}));
  cr_assert(eventually([&] { return Fleet.allHave(Reader, 5); }));
  for (std::size_t At = 0; At < RelayedFleet::Size; ++At)
    cr_assert_leq(Fleet.framesSent(At), 2 * RelayedFleet::Size / 3,
                  "VM %zu sent %zu frames", At,
                  static_cast<std::size_t>(Fleet.framesSent(At)));
}

// Guards against relays that leave out or raise the instant up to which changes
// are complete.
Test(StoreRelay, relays_pass_on_up_to_when_changes_are_complete) {
  for (const std::size_t Reader : {std::size_t{0}, RelayedFleet::Size - 1}) {
    RelayedFleet Fleet;
    RelayNode &Sender = *Fleet.Nodes[Reader];
    const auto Until = Sender.Node.Clock.uptime() - 3s;
    Sender.Relay.broadcast(Fixture::changes(4, 5, {}), Sender.Node.Clock.now(),
                           Until);
    cr_assert(eventually([&] { return Fleet.allHave(Reader, 5); }));
    for (std::size_t At = 0; At < RelayedFleet::Size; ++At)
      for (const auto &Received : Fleet.Nodes[At]->completeTimes()) {
        cr_assert(Received.has_value(), "VM %zu", At);
        cr_assert_leq(Received->count(), Until.count() + 3);
        cr_assert_geq(Received->count(), (Until - 2s).count());
      }
  }
}

// Guards against a small VM that is alone in reaching the store and spends
// seconds on links to all others.
Test(StoreRelay, changes_of_a_small_vm_are_sent_on_by_larger_ones) {
  RelayedFleet Fleet;
  constexpr std::size_t Reader = RelayedFleet::Size - 1;
  Fleet.Nodes[Reader]->broadcast(
      Fixture::changes(4, 5, {{.Key = "a", .Value = "1", .Changed = 5}}));
  cr_assert(eventually([&] { return Fleet.allHave(Reader, 5); }));
  cr_assert_leq(Fleet.framesSent(Reader), 2);
}
