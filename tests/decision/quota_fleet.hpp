#ifndef JUJUBECART_TESTS_DECISION_QUOTA_FLEET_HPP
#define JUJUBECART_TESTS_DECISION_QUOTA_FLEET_HPP

#include <jujubecart/decision/known_vms.hpp>
#include <jujubecart/decision/workspace_quotas.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace quota_fleet {

using namespace jujubecart;
using namespace std::chrono_literals;

using Millis = std::chrono::milliseconds;

inline const core::TimePoint Start{1h};
inline constexpr auto Step = 10ms;
// The promise: in each window at most what the quota allows in it, a tenth and
// 20 requests more.
inline constexpr auto Window = 5s;
// A VM that was cut off is suspected after 3 s and forgotten after 20 s.
inline constexpr auto SuspectAfter = 3s;
inline constexpr auto RemoveAfter = 20s;

inline double owedInWindow(core::WorkspaceQuota Quota) {
  return static_cast<double>(Quota.MilliPerS) / 1000 * 5 +
         static_cast<double>(Quota.Burst);
}

inline double allowedInWindow(core::WorkspaceQuota Quota) {
  return owedInWindow(Quota) * 1.1 + 20;
}

inline core::WorkspaceQuota quotaOf(double PerS, double Burst) {
  return {.MilliPerS = static_cast<std::uint64_t>(PerS * 1000),
          .Burst = static_cast<std::uint64_t>(Burst)};
}

/// @brief One workspace: its load, its quota, and what became of its requests.
struct Load {
  std::uint64_t Id = 0;
  core::WorkspaceQuota Quota;
  /// Requests per second at a time since the start.
  std::function<double(Millis)> PerS;
  /// Part of the fleet's groups whose service it uses.
  std::size_t FirstGroup = 0;
  std::size_t Groups = 0;

  /// Whether requests come at even distances instead of at random.
  bool Even = false;
  double NextPart = 0;
  /// Requests of the last window that an observer who sees all would admit.
  std::deque<core::TimePoint> RecentOwed;
  int Asked = 0;
  int Owed = 0;
  int OwedRefused = 0;
  int Admitted = 0;
  std::deque<core::TimePoint> Recent;
  std::size_t Peak = 0;
  double MaxExcess = -1e9;
  core::TimePoint WorstAt;
};

/// @brief VMs that receive requests and decide on them, in simulated time. The
/// first Large VMs dispatch the groups.
class Fleet {
public:
  Fleet(std::uint64_t Seed, std::size_t Vms, std::size_t Large,
        std::size_t Groups)
      : Random(Seed), Large(Large), GroupCount(Groups), Side(Vms, 0),
        Dead(Vms, false), CutAt(Vms, Start - 1h), Vms(Vms), Members(Vms) {
    for (std::size_t Vm = 0; Vm < Vms; ++Vm)
      Quotas.push_back(make(Vm));
    for (std::size_t Group = 0; Group < Groups; ++Group)
      Rankings.push_back(ranking(Group));
    updateViews();
  }

  Load &add(double PerS, double Burst, std::function<double(Millis)> Demand,
            std::size_t FirstGroup = 0, std::size_t Groups = 0) {
    Load Item;
    Item.Id = Loads.size() * 2 + 1;
    Item.Quota = quotaOf(PerS, Burst);
    Item.PerS = std::move(Demand);
    Item.FirstGroup = FirstGroup;
    Item.Groups = Groups == 0 ? GroupCount : Groups;
    Loads.push_back(std::move(Item));
    return Loads.back();
  }

  void run(Millis Time) {
    const core::TimePoint End = Now + Time;
    while (Now < End) {
      Now += Step;
      deliver();
      if ((Now - Start) % 500ms == 0ms)
        updateViews();
      for (Load &Item : Loads) {
        const int Arrivals = arrivals(
            Item, Item.PerS(std::chrono::duration_cast<Millis>(Now - Start)));
        for (int At = 0; At < Arrivals; ++At)
          ask(Item);
      }
      for (std::size_t Vm = 0; Vm < Quotas.size(); ++Vm)
        report(Vm);
    }
  }

  /// @brief Cuts the VMs for which Left holds off from the others.
  void partition(const std::function<bool(std::size_t)> &Left) {
    for (std::size_t Vm = 0; Vm < Side.size(); ++Vm)
      Side[Vm] = Left(Vm) ? 1 : 0;
    CutAt.assign(Side.size(), Now);
  }
  /// @brief Cuts some VMs, dispatchers among them, off from all others.
  void cutSingly(std::size_t Count) {
    for (std::size_t At = 0; At < Count; ++At) {
      const std::size_t Vm = At * 3 % Side.size();
      Side[Vm] = static_cast<int>(Vm) + 2;
    }
    CutAt.assign(Side.size(), Now);
  }
  void heal() {
    Side.assign(Side.size(), 0);
    updateViews();
  }
  void kill(std::size_t Vm) {
    Dead[Vm] = true;
    CutAt[Vm] = Now;
  }
  void restart(std::size_t Vm) {
    Dead[Vm] = false;
    Quotas[Vm] = make(Vm);
    Quotas[Vm]->noteRestart();
    Vms[Vm] = {};
    Members[Vm].clear();
    updateViews();
  }

  [[nodiscard]] std::size_t size() const { return Quotas.size(); }

  /// Whether a VM that reaches no dispatcher decides without one.
  bool LocalFallback = false;
  double LossPart = 0;
  Millis MaxDelay{20};
  std::deque<Load> Loads;
  core::TimePoint Now = Start;
  std::size_t Messages = 0;
  std::size_t ReportedItems = 0;

private:
  struct Message {
    core::TimePoint At = {};
    std::size_t From;
    std::size_t To;
    std::vector<decision::WorkspaceUse> Items;
    bool WantsHistory = false;
    std::optional<decision::QuotaHistory> Told = {};
  };

  std::unique_ptr<decision::WorkspaceQuotas> make(std::size_t Vm) {
    return std::make_unique<decision::WorkspaceQuotas>(
        std::to_string(Vm),
        [this](std::uint64_t Workspace) { return Loads[Workspace / 2].Quota; },
        Now);
  }

  // VMs in the order in which they dispatch a group.
  [[nodiscard]] std::vector<std::size_t> ranking(std::size_t Group) const {
    std::vector<std::size_t> Out(Quotas.size());
    for (std::size_t At = 0; At < Out.size(); ++At)
      Out[At] = At;
    std::mt19937 Order(static_cast<unsigned>(Group + 77));
    std::shuffle(Out.begin(), Out.begin() + static_cast<long>(Large), Order);
    std::shuffle(Out.begin() + static_cast<long>(Large), Out.end(), Order);
    return Out;
  }

  [[nodiscard]] bool connected(std::size_t A, std::size_t B) const {
    return !Dead[A] && !Dead[B] && Side[A] == Side[B];
  }

  // Whether A takes B for live.
  [[nodiscard]] bool seesLive(std::size_t A, std::size_t B) const {
    return A == B || connected(A, B) || Now - CutAt[B] < SuspectAfter;
  }
  [[nodiscard]] bool isMember(std::size_t A, std::size_t B) const {
    return seesLive(A, B) || Now - CutAt[B] < RemoveAfter;
  }
  // VMs that a VM takes for running.
  [[nodiscard]] std::size_t known(std::size_t Vm) {
    std::vector<bool> View(Quotas.size());
    for (std::size_t Other = 0; Other < View.size(); ++Other)
      View[Other] = isMember(Vm, Other);
    // Most views are the same as before, and updates are slow.
    if (View != Members[Vm]) {
      decision::KnownVms::Ids Ids;
      for (std::size_t Other = 0; Other < View.size(); ++Other)
        if (View[Other])
          Ids.insert(std::to_string(Other));
      Vms[Vm].update(std::move(Ids), {}, Now);
      Members[Vm] = std::move(View);
    }
    return Vms[Vm].count();
  }

  void updateViews() {
    for (std::size_t Vm = 0; Vm < Quotas.size(); ++Vm) {
      if (Dead[Vm])
        continue;
      decision::QuotaFleet View;
      View.Live = 0;
      for (std::size_t Other = 0; Other < Quotas.size(); ++Other)
        View.Live += seesLive(Vm, Other);
      View.Known = known(Vm);
      for (const auto &Rank : Rankings) {
        int Taken = 0;
        for (const std::size_t Other : Rank)
          if (seesLive(Vm, Other) && Taken < 2) {
            View.Reporters.insert(std::to_string(Other));
            ++Taken;
          }
      }
      Reporters[Vm] = View.Reporters;
      Quotas[Vm]->setFleet(std::move(View), Now);
    }
  }

  // The first reachable VM in rank of the first three decides, else the VM
  // itself.
  [[nodiscard]] std::size_t dispatcher(std::size_t Vm, std::size_t Group,
                                       std::size_t Skipped) {
    int Tried = 0;
    for (const std::size_t Other : Rankings[Group]) {
      if (!seesLive(Vm, Other) || Other == Skipped)
        continue;
      if (Other == Vm || connected(Vm, Other))
        return Other;
      if (++Tried == 3)
        break;
    }
    return Vm;
  }

  // Requests of one step.
  [[nodiscard]] int arrivals(Load &Item, double PerS) {
    const double Mean = PerS * std::chrono::duration<double>(Step).count();
    if (!Item.Even)
      return Mean > 0 ? std::poisson_distribution<int>(Mean)(Random) : 0;
    Item.NextPart += Mean;
    const int Out = static_cast<int>(Item.NextPart);
    Item.NextPart -= Out;
    return Out;
  }

  void ask(Load &Item) {
    if (std::find(Dead.begin(), Dead.end(), false) == Dead.end())
      return;
    std::size_t Vm = Random() % Quotas.size();
    while (Dead[Vm])
      Vm = Random() % Quotas.size();
    const std::size_t Group = Item.FirstGroup + Random() % Item.Groups;
    std::size_t Decider = dispatcher(Vm, Group, SIZE_MAX);
    const bool Alone =
        LocalFallback && Decider == Vm && Rankings[Group].front() != Vm;
    auto Decision = Quotas[Decider]->request(Item.Id, Now, Alone);
    // One that is about to hear what was used leaves it to the next.
    if (Decision.AwaitsHistory) {
      Decider = dispatcher(Vm, Group, Decider);
      Decision = Quotas[Decider]->request(Item.Id, Now, Alone);
    }
    ++Item.Asked;
    while (!Item.RecentOwed.empty() && Item.RecentOwed.front() <= Now - Window)
      Item.RecentOwed.pop_front();
    const bool Owed = static_cast<double>(Item.RecentOwed.size()) + 1 <=
                          owedInWindow(Item.Quota) ||
                      !Item.Quota.limited();
    if (Owed) {
      ++Item.Owed;
      Item.RecentOwed.push_back(Now);
      if (!Decision.Admitted)
        ++Item.OwedRefused;
    }
    if (!Decision.Admitted)
      return;
    ++Item.Admitted;
    if (!Item.Quota.limited())
      return;
    Item.Recent.push_back(Now);
    while (Item.Recent.front() < Now - Window)
      Item.Recent.pop_front();
    Item.Peak = std::max(Item.Peak, Item.Recent.size());
    const double Excess =
        static_cast<double>(Item.Recent.size()) - allowedInWindow(Item.Quota);
    if (Now >= JudgedFrom && Excess > Item.MaxExcess) {
      Item.MaxExcess = Excess;
      Item.WorstAt = Now;
    }
  }

  void report(std::size_t Vm) {
    if (Dead[Vm])
      return;
    for (const std::string &Name : Quotas[Vm]->takeHistoryRequests(Now))
      post({.From = Vm, .To = std::stoul(Name), .WantsHistory = true});
    const auto Items = Quotas[Vm]->takeReport(Now);
    if (!Items)
      return;
    for (const std::string &Name : Reporters[Vm]) {
      const std::size_t Other = std::stoul(Name);
      if (Other == Vm || !connected(Vm, Other) ||
          std::uniform_real_distribution(0.0, 1.0)(Random) < LossPart)
        continue;
      ++Messages;
      ReportedItems += Items->size();
      Pending.push_back(
          {.At = Now + 1ms + Millis(Random() % (MaxDelay.count() + 1)),
           .From = Vm,
           .To = Other,
           .Items = *Items});
    }
  }

  // Questions for the history and their answers take the longest time, so that
  // they do not change the times of the reports.
  void post(Message Item) {
    Item.At = Now + 1ms + MaxDelay;
    Pending.push_back(std::move(Item));
  }

  void deliver() {
    std::vector<Message> Due;
    for (Message &Item : std::exchange(Pending, {}))
      (Item.At > Now ? Pending : Due).push_back(std::move(Item));
    for (const Message &Item : Due)
      if (connected(Item.From, Item.To))
        receive(Item);
  }

  void receive(const Message &Item) {
    decision::WorkspaceQuotas &Receiver = *Quotas[Item.To];
    const std::string Sender = std::to_string(Item.From);
    if (Item.Told)
      return Receiver.recordHistory(Sender, *Item.Told, Now);
    Receiver.recordReport(Sender, Item.Items, Now);
    if (Item.WantsHistory)
      post({.From = Item.To, .To = Item.From, .Told = Receiver.history(Now)});
  }

public:
  core::TimePoint JudgedFrom = Start;

private:
  std::mt19937_64 Random;
  std::size_t Large;
  std::size_t GroupCount;
  std::vector<int> Side;
  std::vector<bool> Dead;
  std::vector<core::TimePoint> CutAt;
  std::vector<decision::KnownVms> Vms;
  // Members that each VM sees.
  std::vector<std::vector<bool>> Members;
  std::vector<std::unique_ptr<decision::WorkspaceQuotas>> Quotas;
  std::map<std::size_t, std::set<std::string, std::less<>>> Reporters;
  std::vector<Message> Pending;
  std::vector<std::vector<std::size_t>> Rankings;
};

} // namespace quota_fleet

#endif
