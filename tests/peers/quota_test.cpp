#include "cluster.hpp"
#include "unsent_reports.hpp"

using namespace jujubecart;
using namespace jujubecart::peers;
using namespace jujubecart::peers::test;

namespace {

const core::Workspace Club{
    .Name = "club", .Priority = {}, .Quota = {.MilliPerS = 100, .Burst = 10}};

const core::Workspace Leading{.Name = "leading", .Priority = 1, .Quota = {}};

/// @brief A fleet whose only service has many slots and whose configuration has
/// two workspaces.
struct QuotaFleet : Cluster {
  explicit QuotaFleet(
      std::size_t Servers = 20, std::size_t Size = 3, bool WaitForRank = true,
      core::PolicyProfile Profile = core::ServiceConfig{}.Profile)
      : Cluster(Servers, Size, Profile) {
    const auto Services =
        snapshot(2, Servers, core::ServiceKind::Lookup, Profile)->entries();
    const auto Routing = std::make_shared<core::RoutingTable>(
        1, std::vector<core::Route>{}, core::CallerLimits{},
        core::WorkspaceTable(
            {{.Item = Club, .Keys = {}}, {.Item = Leading, .Keys = {}}}));
    // A VM that has a revision passes its services on, without the workspaces.
    // A VM that got them this way refuses the same revision, so all get the
    // next one.
    constexpr core::Revision MaxRevision = 20;
    core::Revision Revision = 2;
    while (!applyToAll({Revision, Services, Routing}))
      cr_assert_lt(++Revision, MaxRevision);
    // Until then the dispatcher takes itself for a VM that decides alone.
    cr_assert(!WaitForRank || eventually([&] {
      return !dispatcher().Node.dispatch().status().empty();
    }));
    // A dispatcher that has not heard yet what was used before leaves refusals
    // to the next one.
    cr_assert(!WaitForRank || eventually([&] {
      for (std::size_t At = 0; At < 2; ++At)
        if (Ranked[At]->Node.links().counters().QuotaHistories == 0)
          return false;
      return true;
    }));
  }

  /// @return Whether no VM had the revision of the snapshot already.
  [[nodiscard]] bool applyToAll(const core::ConfigSnapshot &Snapshot) {
    bool All = true;
    for (const auto &Item : Vms)
      All = Item->Config.apply(
                std::make_shared<core::ConfigSnapshot>(Snapshot)) &&
            All;
    return All;
  }

  [[nodiscard]] static core::SlotRequest counted() {
    core::SlotRequest Item = request();
    Item.Workspace = Club.hash();
    Item.CountsAgainstQuota = true;
    Item.Hint = std::make_shared<core::RetryHint>();
    return Item;
  }
};

} // namespace

// Guards against requests beyond the quota that get a slot because they came
// through different VMs, and against refusals without the time of a retry.
Test(Quota, requests_of_all_vms_use_one_quota) {
  QuotaFleet Fleet;
  std::size_t Granted = 0;
  std::size_t Refused = 0;
  for (int At = 0; At < 60; ++At) {
    core::SlotRequest Request = QuotaFleet::counted();
    const auto Hint = Request.Hint;
    const auto Result =
        Fleet.Vms[At % Fleet.Vms.size()]->acquire(std::move(Request));
    if (Result) {
      ++Granted;
      continue;
    }
    ++Refused;
    cr_assert_eq(Result.error(), core::Error::QuotaExceeded);
    cr_assert_gt(Hint->RetryAt, std::chrono::steady_clock::now());
  }
  // A dispatcher that has just started has its share of the burst, a half.
  cr_assert_geq(Granted, 5, "%zu granted", Granted);
  cr_assert_leq(Granted, 14, "%zu granted", Granted);
  cr_assert_eq(Fleet.dispatcher().Node.links().counters().QuotaRefusals,
               Refused);
}

// Guards against attempts of one request that use its quota more than once.
Test(Quota, later_attempts_do_not_count) {
  QuotaFleet Fleet;
  for (int At = 0; At < 60; ++At) {
    core::SlotRequest Request = QuotaFleet::counted();
    Request.CountsAgainstQuota = false;
    cr_assert(Fleet.second().acquire(std::move(Request)).has_value());
  }
}

// Guards against requests that use the quota although they got no slot.
Test(Quota, requests_that_end_without_slot_do_not_count) {
  QuotaFleet Fleet(1);
  const auto Held = Fleet.acquireSlots(Fleet.second(), MaxGrants);
  for (int At = 0; At < 40; ++At) {
    core::SlotRequest Request = QuotaFleet::counted();
    Request.Deadline = std::chrono::steady_clock::now() + 20ms;
    const auto Result = Fleet.second().acquire(std::move(Request));
    cr_assert(!Result);
    cr_assert(Result.error() != core::Error::QuotaExceeded);
  }
}

// Guards against requests that use the quota although their slot was not used:
// the next one of the same request would be refused for it.
Test(Quota, requests_that_do_not_use_their_slot_do_not_count) {
  QuotaFleet Fleet;
  for (Vm *Requester : {&Fleet.dispatcher(), &Fleet.second()})
    for (int At = 0; At < 20; ++At) {
      const auto Result = Requester->acquire(QuotaFleet::counted());
      cr_assert(Result.has_value(), "request %d", At);
      Requester->Node.broker().release(
          *Result, {.Outcome = core::CallOutcome::Withheld});
    }
}

// Guards against a second dispatcher that knows nothing of what the first one
// admitted.
Test(Quota, use_is_reported_to_the_next_dispatcher) {
  QuotaFleet Fleet;
  cr_assert(Fleet.second().acquire(QuotaFleet::counted()).has_value());
  cr_assert(eventually(
      [&] { return Fleet.second().Node.dispatch().quotaWorkspaces() == 1; }));
}

// Guards against use that no other VM ever counts because the link was not open
// when it was reported.
Test(Quota, use_is_reported_once_a_broken_link_is_open_again) {
  for (int Round = 0; Round < 5; ++Round) {
    QuotaFleet Fleet;
    const std::string Second = idOf(Fleet.second());
    LinkTable &Links = Fleet.dispatcher().Node.links();
    // From then on, the first request of all is reported at once.
    std::this_thread::sleep_for(250ms);
    while (const LinkPtr Open = Links.find(Second))
      Open->close("test");
    cr_assert(Fleet.dispatcher().acquire(QuotaFleet::counted()).has_value());
    cr_assert(eventually([&] {
                return Fleet.second().Node.dispatch().quotaWorkspaces() == 1;
              }),
              "round %d", Round);
  }
}

// Guards against reports to a VM out of reach that are lost, kept for so long
// that they count twice, or sent twice.
Test(Quota, unsent_reports_are_added_to_the_next_one) {
  const core::TimePoint Start{1h};
  using Items = peers::internal::UnsentReports::Items;
  peers::internal::UnsentReports Unsent;
  const Items Later{{.Workspace = 2, .Demanded = 1, .Admitted = 1}};
  Unsent.add("b", {{.Workspace = 1, .Demanded = 9, .Admitted = 9}}, Start);
  Unsent.add("b", {{.Workspace = 1, .Demanded = 3, .Admitted = 2}},
             Start + 900ms);
  Unsent.add("b", {{.Workspace = 1, .Demanded = 1, .Admitted = -1}},
             Start + 1s);
  const Items Expected{{.Workspace = 1, .Demanded = 4, .Admitted = 1},
                       Later[0]};
  cr_assert(Unsent.merge("b", Later, Start + 1100ms) == Expected);
  cr_assert(Unsent.merge("c", Later, Start + 1100ms) == Later);
  Unsent.retain({"b"});
  cr_assert(Unsent.merge("b", Later, Start + 1100ms) == Expected);
  Unsent.erase("b");
  cr_assert(Unsent.merge("b", Later, Start + 1100ms) == Later);
}

// Guards against a dispatcher that refuses a request within the quota because
// it has not noticed yet that it ranks first.
Test(Quota, dispatcher_that_was_asked_before_it_updated_its_rank_grants) {
  QuotaFleet Fleet(20, 3, false);
  cr_assert(Fleet.second().acquire(QuotaFleet::counted()).has_value());
}

// Guards against a VM without reports that answers 429 to another VM, and
// against a request that nobody decides when no dispatcher counts it.
Test(Quota, vm_without_reports_leaves_the_decision_to_the_requester) {
  QuotaFleet Fleet(20, 4);
  Vm &Requester = *Fleet.Ranked[3];
  // Stopped without notice, so that the others still take them for live.
  Fleet.dispatcher().Context.stop();
  Fleet.second().Context.stop();
  core::SlotRequest Request = QuotaFleet::counted();
  // A request without a key is not sent to a second dispatcher.
  Request.Key = core::OrderKey{.High = 1, .Low = 1};
  const auto Result = Requester.acquire(std::move(Request));
  cr_assert(!Result);
  cr_assert_eq(Result.error(), core::Error::QuotaExceeded);
  cr_assert_eq(Fleet.third().Node.links().counters().QuotaRequests, 0);
  cr_assert_eq(Requester.Node.links().counters().QuotaRequests, 1);
}

// Guards against a dispatcher that takes the priority of a workspace for that
// of a route: the call would leave the last slot of the server to the others.
Test(WorkspacePriority, call_of_leading_workspace_takes_last_slot) {
  QuotaFleet Fleet(1, 2, true, core::PolicyProfile::Objective);
  const auto AcquireLater = [&](std::uint64_t Workspace,
                                std::uint8_t Priority) {
    core::SlotRequest Item = Cluster::request(20s);
    Item.Objective = Item.Deadline;
    Item.WorkClass = 1;
    Item.Workspace = Workspace;
    Item.Priority = Priority;
    return Fleet.dispatcher().acquireLater(std::move(Item));
  };
  // The second call starts at a known pace, so its duration is learned.
  for (int Call = 0; Call < 2; ++Call) {
    const auto Ended = AcquireLater(Club.hash(), 5).get();
    cr_assert(Ended.has_value());
    Fleet.dispatcher().Node.broker().release(
        *Ended, {.Outcome = core::CallOutcome::Completed,
                 .Elapsed = 2s,
                 .Load = core::LoadReport{}});
  }
  cr_assert(AcquireLater(Club.hash(), 5).get().has_value());
  auto Waiting = AcquireLater(Club.hash(), 5);
  cr_assert(Waiting.wait_for(50ms) == std::future_status::timeout);
  auto First = AcquireLater(Leading.hash(), 1);
  cr_assert(First.wait_for(5s) == std::future_status::ready);
  cr_expect(First.get().has_value());
  cr_expect(Waiting.wait_for(0ms) == std::future_status::timeout);
}
