#include <criterion/criterion.h>
#include <jujubecart/core.hpp>
#include <jujubecart/decision.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <map>
#include <set>

using namespace jujubecart;
using namespace jujubecart::decision;

namespace {

std::vector<core::BackendServer> servers(std::size_t Count) {
  std::vector<core::BackendServer> All(Count);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    All[Index].Id = "s" + std::to_string(Index);
    All[Index].Zone = "z" + std::to_string(Index % 4);
    All[Index].Slots = 2;
  }
  return All;
}

core::ServiceConfig service(std::size_t Count) {
  core::ServiceConfig Service;
  Service.Name = "tags";
  Service.Servers = servers(Count);
  Service.Zones = {{"z0", "a"}, {"z1", "a"}, {"z2", "b"}, {"z3", "b"}};
  return Service;
}

/// @brief VMs of half a core, whose numbers come first, and of a tenth.
std::vector<core::Member> largeAndSmallVms(std::size_t Large,
                                           std::size_t Small) {
  std::vector<core::Member> Members;
  const std::size_t Count = Large + Small;
  Members.reserve(Count);
  for (std::size_t Index = 0; Index < Count; ++Index)
    Members.push_back({.Id = "vm" + std::to_string(Index),
                       .Address = {},
                       .Zone = {},
                       .Region = "a",
                       .ProcessorMilli = Index < Large ? 500U : 100U});
  return Members;
}

} // namespace

// Guards against a retry on the server that failed it, and against calls to a
// draining server.
Test(LocalPolicy, excluded_and_draining_servers_are_never_chosen) {
  auto All = servers(4);
  All[1].State = core::ServerState::Draining;
  const std::vector<std::string> Excluded{"s0", "s2"};
  const std::vector<std::string> Everything{"s0", "s2", "s3"};
  for (const char *Name :
       {"power-of-two-choices", "round-robin", "random", "least-reported"}) {
    const auto Policy = makeLocalPolicy(Name, 7);
    for (int Round = 0; Round < 100; ++Round)
      cr_assert_eq(*Policy->pick(All, Excluded, {}), 3);
    cr_assert_not(Policy->pick(All, Everything, {}).has_value());
    cr_assert_not(Policy->pick({}, {}, {}).has_value());
  }
  cr_assert_null(makeLocalPolicy("fastest", 1));
}

// Guards against in-flight counts that are not decremented when a call ends, so
// that the server stays disfavored.
Test(PowerOfTwoChoices, busy_server_loses_until_its_calls_end) {
  const auto All = servers(2);
  PowerOfTwoChoices Policy(3);
  Policy.onStart("s0", {});
  for (int Round = 0; Round < 50; ++Round)
    cr_assert_eq(*Policy.pick(All, {}, {}), 1);
  Policy.onEnd("s0", {}, {});
  std::set<std::size_t> Chosen;
  for (int Round = 0; Round < 50; ++Round)
    Chosen.insert(*Policy.pick(All, {}, {}));
  cr_assert_eq(Chosen.size(), 2);
}

// Guards against VMs that compute different groups because they list the
// servers in another order, and against groups of more than MaxGroupServers.
Test(DispatchGroups, order_of_servers_does_not_matter) {
  core::ServiceConfig Service = service(130);
  const auto Groups = dispatchGroups(Service);
  std::reverse(Service.Servers.begin(), Service.Servers.end());
  cr_assert(dispatchGroups(Service) == Groups);
  cr_assert_eq(Groups.size(), 5);
  cr_assert_eq(Groups[0].Name, "tags/a/0");
  std::set<std::string> Seen;
  for (const auto &Group : Groups) {
    cr_assert_leq(Group.Servers.size(), MaxGroupServers);
    for (const auto &Server : Group.Servers)
      cr_assert(Seen.insert(Server.Id).second);
  }
  cr_assert_eq(Seen.size(), 130);
}

std::map<std::string, std::string> groupsByServer(unsigned Count) {
  std::map<std::string, std::string> Out;
  for (const auto &Group : dispatchGroups(service(Count)))
    for (const auto &Server : Group.Servers)
      Out.emplace(Server.Id, Group.Name);
  return Out;
}

// Guards against servers that change groups all over a service when one joins
// or leaves: a dispatcher loses the calls in flight and the measured service
// times of each server that moves.
Test(DispatchGroups, joining_server_moves_few_others) {
  for (unsigned Count = 40; Count < 180; Count += 7) {
    const auto Before = groupsByServer(Count);
    const auto After = groupsByServer(Count + 1);
    const auto Moved =
        std::count_if(Before.begin(), Before.end(), [&](const auto &Item) {
          return After.at(Item.first) != Item.second;
        });
    if (dispatchGroups(service(Count)).size() ==
        dispatchGroups(service(Count + 1)).size())
      cr_assert_leq(Moved, 8, "%u servers: %td moved", Count, Moved);
  }
}

// Guards against one group that gets most servers of a service.
Test(DispatchGroups, groups_are_of_similar_size) {
  for (unsigned Count = 40; Count < 180; Count += 7)
    for (const auto &Group : dispatchGroups(service(Count)))
      cr_assert_geq(Group.Servers.size(), MaxGroupServers / 4, "%u", Count);
}

// Guards against small VMs that become dispatcher of many groups and cannot
// keep up.
Test(RankMembers, vms_with_more_processor_capacity_get_most_groups) {
  const auto Members = largeAndSmallVms(8, 92);
  int OnLarge = 0;
  constexpr int Groups = 200;
  for (int Group = 0; Group < Groups; ++Group) {
    const auto Ranked =
        rankMembers("tags/a/" + std::to_string(Group), "a", Members);
    OnLarge += std::stoi(Ranked.front().substr(2)) < 8;
  }
  cr_assert_geq(OnLarge, Groups * 8 / 10, "%d", OnLarge);
}

// Guards against a group that falls to a VM that is too small for its work,
// because there are many such VMs: its loop is late, other VMs close their
// links to it, and it serves by an outdated configuration.
Test(RankMembers, group_is_placed_on_a_vm_that_can_carry_it) {
  constexpr int Groups = 200;
  for (const auto &[Large, Small] :
       {std::pair<std::size_t, std::size_t>(18, 294),
        std::pair<std::size_t, std::size_t>(8, 92)}) {
    const auto Members = largeAndSmallVms(Large, Small);
    for (int Group = 0; Group < Groups; ++Group) {
      const auto Ranked =
          rankMembers("tags/a/" + std::to_string(Group), "a", Members);
      for (std::size_t Rank = 0; Rank < Large; ++Rank)
        cr_assert_lt(std::stoul(Ranked[Rank].substr(2)), Large,
                     "group %d, rank %zu: %s", Group, Rank,
                     Ranked[Rank].c_str());
    }
  }
}

// Guards against the work of a whole fleet on the few large VMs that are left
// of it.
Test(RankMembers, few_large_vms_share_the_groups_with_the_others) {
  constexpr std::size_t Large = 2;
  const auto Members = largeAndSmallVms(Large, 98);
  constexpr int Groups = 200;
  int OnLarge = 0;
  for (int Group = 0; Group < Groups; ++Group)
    OnLarge +=
        std::stoul(rankMembers("tags/a/" + std::to_string(Group), "a", Members)
                       .front()
                       .substr(2)) < Large;
  cr_assert_leq(OnLarge, Groups * 8 / 10, "%d", OnLarge);
}

// Guards against the choice of a leaving member as dispatcher, and against a
// change in the order of the other members when one leaves.
Test(RankMembers, leaving_member_is_not_ranked_and_order_of_others_stays) {
  std::vector<core::Member> Members;
  Members.reserve(14);
  for (int Index = 0; Index < 14; ++Index)
    Members.push_back({.Id = "vm" + std::to_string(Index),
                       .Address = {},
                       .Zone = {},
                       .Region = Index < 4 ? "a" : "b",
                       .Incarnation = 1,
                       .State = core::MemberState::Live});
  auto Before = rankMembers("tags/a/0", "a", Members);
  for (int Rank = 0; Rank < 4; ++Rank)
    cr_assert_lt(std::stoi(Before[Rank].substr(2)), 4);
  Members[std::stoul(Before[0].substr(2))].State = core::MemberState::Leaving;
  const auto After = rankMembers("tags/a/0", "a", Members);
  Before.erase(Before.begin());
  cr_assert(After == Before);
}

// Guards against retries that multiply the load on a failing service: they are
// limited to a tenth of first attempts, and at most ten are saved up.
Test(RetryBudget, retries_stay_at_a_tenth_of_first_attempts) {
  RetryBudget Budget;
  cr_assert_not(Budget.tryTake("tags"));
  int Retries = 0;
  for (int Call = 0; Call < 1000; ++Call) {
    Budget.recordFirstAttempt("tags");
    Retries += Budget.tryTake("tags");
  }
  cr_assert_eq(Retries, 100);
  for (int Call = 0; Call < 1000; ++Call)
    Budget.recordFirstAttempt("tags");
  for (Retries = 0; Budget.tryTake("tags");)
    ++Retries;
  cr_assert_eq(Retries, 10);
}

// Guards against retries to one failing service that use up what calls to the
// other services allow, and against a fleet whose VMs together exceed its
// limit.
Test(RetryBudget, each_service_has_its_own_budget_and_each_vm_its_share) {
  RetryBudget Budget({.Ratio = 0.15, .MaxSaved = 10});
  for (int Call = 0; Call < 1000; ++Call)
    Budget.recordFirstAttempt("tags");
  cr_assert_not(Budget.tryTake("orders"));
  Budget.setMaxSaved(3);
  int Retries = 0;
  while (Budget.tryTake("tags"))
    ++Retries;
  cr_assert_eq(Retries, 3);
  for (int Call = 0; Call < 100; ++Call) {
    Budget.recordFirstAttempt("tags");
    Retries += Budget.tryTake("tags");
  }
  cr_assert_eq(Retries, 3 + 15);
}

// Guards against a bucket that exceeds its rate, or that refills when the clock
// steps back.
Test(TokenBucket, rate_holds_in_every_window) {
  core::TimePoint Now{};
  TokenBucket Bucket(5, 1, Now);
  int Taken = 0;
  for (int Ms = 0; Ms < 10000; ++Ms)
    Taken += Bucket.tryTake(Now + std::chrono::milliseconds(Ms));
  cr_assert_leq(Taken, 51);
  cr_assert_geq(Taken, 49);
  cr_assert_not(Bucket.tryTake(Now));
}

// Guards against a request with an order key that is sent although the key
// cannot be claimed, and against a grant that is not counted as in flight.
Test(LocalBroker, order_without_claims_is_refused) {
  core::ConfigTable Table;
  Table.apply(std::make_shared<core::ConfigSnapshot>(
      1, core::ConfigSnapshot::ServiceMap{
             {"tags", std::make_shared<core::ServiceEntry>(core::ServiceEntry{
                          .Changed = 1, .Service = service(2)})}}));
  const core::SystemClock Time;
  LocalBroker Broker(Table, Time, "power-of-two-choices", 1);
  core::SlotRequest Request;
  Request.Service = "tags";
  Request.Deadline = Time.now() + std::chrono::seconds(10);
  Request.Key = core::orderKey("tags", "k");
  boost::asio::io_context Context;
  auto Refused =
      co_spawn(Context, Broker.acquire(Request), boost::asio::use_future);
  Request.Key.reset();
  auto Granted =
      co_spawn(Context, Broker.acquire(Request), boost::asio::use_future);
  Context.run();
  cr_assert(Refused.get().error() == core::Error::Unavailable);
  const auto First = Granted.get().value();
  const auto Second = Broker.acquireNow(Request).value();
  cr_assert_neq(First.Server.Id, Second.Server.Id);
  Broker.release(First, {});
  cr_assert_eq(Broker.acquireNow(Request).value().Server.Id, First.Server.Id);
  Request.Service = "other";
  cr_assert(Broker.acquireNow(Request).error() == core::Error::NotFound);
}
