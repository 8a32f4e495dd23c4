#include <jujubecart/decision/objective_dispatcher.hpp>

#include <jujubecart/decision/group_dispatcher.hpp>
#include <jujubecart/decision/internal/adopted_calls.hpp>
#include <jujubecart/decision/internal/fair_shares.hpp>
#include <jujubecart/decision/internal/grant_table.hpp>
#include <jujubecart/decision/internal/load_table.hpp>
#include <jujubecart/decision/internal/objective_queue.hpp>
#include <jujubecart/decision/internal/return_schedule.hpp>
#include <jujubecart/decision/internal/server_order.hpp>

#include <jujubecart/core/hash.hpp>

#include <algorithm>
#include <utility>

namespace jujubecart::decision {

namespace {

using namespace std::chrono_literals;

// Time between two ticks while calls wait, and otherwise.
constexpr auto BusyTickInterval = 8ms;
constexpr auto IdleTickInterval = 100ms;
constexpr auto MinRetryAfter = 50ms;
constexpr auto MaxRetryAfter = 5s;
constexpr double MaxJitter = 1.5;
// Limits of the waiting calls that are tried in one pass over the queue, on
// servers below their preferred limit and above it.
constexpr std::size_t MaxCandidates = 8;
constexpr std::size_t MaxSaturatingCandidates = 64;
// A call does not take the last slots of a server while it most likely meets
// its objective after waiting.
constexpr double SafeOnTimeProbability = 0.9;
// A call whose probability to meet its objective is lower moves to the late
// queue, which is served after the calls that can still meet theirs.
constexpr double MinOnTimeProbability = 0.5;
// A free server is taken if its score is at least the on-time probability after
// waiting times WaitDiscount; less UnsaturatedAllowance if the call stays
// within the preferred limit of the server.
constexpr double WaitDiscount = 0.9;
constexpr double UnsaturatedAllowance = 0.1;
// A late call must start at least this many expected service times before its
// deadline; otherwise it is rejected.
constexpr double LateReserveFactor = 2;
constexpr double PercentPerUnit = 100;

} // namespace

using internal::Goal;

class ObjectiveDispatcher::Implementation {
public:
  Implementation(DispatchGroup Group, const DispatcherOptions &Options,
                 core::TimePoint Now)
      : Group(std::move(Group)), Options(Options),
        Table(this->Group.Servers, Options, Now), Random(Options.Seed),
        LastTick(Now), Grants(Random() >> 1) {}

  void enqueue(PendingCall Call, core::TimePoint Now, Decisions &Out);
  void dispatch(core::TimePoint Now, Decisions &Out);
  void release(std::uint64_t GrantId, const core::CallReport &Report,
               core::TimePoint Now);
  void adopt(const std::string &Holder, const std::string &ServerId,
             std::uint32_t InFlight);
  void dropHolder(std::string_view Holder);
  void expireGrants(core::TimePoint Now);
  [[nodiscard]] ServerStatus statusOf(const internal::ServerLoad &Server,
                                      core::TimePoint Now) const;

  DispatchGroup Group;
  DispatcherOptions Options;
  internal::LoadTable Table;
  /// Calls that can still meet their objective.
  internal::ObjectiveQueue OnTimeQueue;
  /// Calls that most likely miss their objective but can meet their deadline.
  internal::ObjectiveQueue LateQueue;
  /// What the workspaces got of the slots.
  internal::FairShares Shares;
  internal::AdoptedCalls Adopted;
  std::mt19937_64 Random;
  core::TimePoint LastTick;
  internal::ReturnSchedule Returns;
  /// Indices of servers to probe; taken from the back.
  std::vector<std::uint32_t> PendingProbes;

private:
  /// @brief What is kept with a grant.
  struct GrantDetails {
    std::uint64_t WorkClass = 0;
  };

  /// @brief Which servers a pass over the queue uses.
  struct Pass {
    /// Whether servers may be used above their preferred limit.
    bool Saturate = false;
    /// Whether a call gets only servers of its own zone.
    bool OwnZone = false;
  };

  /// @brief Tries to grant a call of the on-time queue.
  /// @return Whether a call was granted.
  [[nodiscard]] bool placeAnyOnTime(Pass Allowed, core::TimePoint Now,
                                    Decisions &Out);
  /// @brief Tries to grant one call of the on-time queue; requests probes first
  /// if their results could improve the choice of the server.
  /// @param Position Position of the call in the queue.
  /// @return Whether it was granted; if not, it keeps waiting.
  [[nodiscard]] bool placeOnTime(CallToken Token, std::size_t Position,
                                 Pass Allowed, core::TimePoint Now,
                                 Decisions &Out);
  /// @brief Tries to grant the first placeable call of the late queue.
  /// @return Whether a call was granted.
  [[nodiscard]] bool placeLate(core::TimePoint Now, Decisions &Out);
  /// @brief Grants a call that was removed from its queue.
  void grant(const PendingCall &Call, const internal::Placement &Chosen,
             core::TimePoint Now, Decisions &Out);
  /// @brief State of the queues and price of a slot.
  [[nodiscard]] DecisionFacts queueFacts(core::TimePoint Now) const;
  /// @brief State of a server and of the queues, for the log.
  [[nodiscard]] DecisionFacts factsOf(const internal::ServerLoad &Server,
                                      core::TimePoint Now) const;
  /// @brief Moves calls that most likely miss their objective to the late
  /// queue, and rejects late calls that cannot meet their deadline.
  void demoteLateCalls(core::TimePoint Now, Decisions &Out);
  /// @brief Adds a call to the late queue, or rejects it at once if it would
  /// not start in time for its deadline or the queues are full.
  void enqueueLate(PendingCall Call, core::TimePoint ArrivalTime,
                   core::TimePoint Now, Decisions &Out);
  void reject(const PendingCall &Call, core::Error Reason, core::TimePoint Now,
              Decisions &Out);
  /// @brief Expected wait of a call that joins the late queue now.
  [[nodiscard]] std::chrono::microseconds
  expectedLateWait(core::TimePoint Now) const;
  /// @brief Latest start with which a call most likely meets its deadline.
  [[nodiscard]] core::TimePoint latestStart(const PendingCall &Call,
                                            core::TimePoint Now) const;

  internal::GrantTable<GrantDetails> Grants;
};

void ObjectiveDispatcher::Implementation::reject(const PendingCall &Call,
                                                 core::Error Reason,
                                                 core::TimePoint Now,
                                                 Decisions &Out) {
  const core::TimePoint Return =
      Returns.reserve(expectedLateWait(Now), Table.spareCallsPerS(Now), Now);
  // Other dispatchers of the service reserve times of their own; jitter keeps
  // their callers from returning at the same time.
  const double Jitter = std::uniform_real_distribution(1.0, MaxJitter)(Random);
  // The limit is applied before the jitter, or all callers of a group without
  // capacity would return at the same time.
  const auto Wait = std::clamp<std::chrono::duration<double, std::micro>>(
                        Return - Now, MinRetryAfter,
                        std::chrono::microseconds(MaxRetryAfter) / MaxJitter) *
                    Jitter;
  Out.emplace_back(Rejected{
      .Token = Call.Token,
      .Reason = Reason,
      .RetryAfter = std::chrono::duration_cast<std::chrono::milliseconds>(Wait),
      .Facts = queueFacts(Now)});
}

DecisionFacts
ObjectiveDispatcher::Implementation::queueFacts(core::TimePoint Now) const {
  return {.Waiting = OnTimeQueue.size(),
          .WaitingLate = LateQueue.size(),
          .SlotPricePercent = static_cast<std::uint32_t>(Table.slotPrice(Now) *
                                                         PercentPerUnit)};
}

std::chrono::microseconds ObjectiveDispatcher::Implementation::expectedLateWait(
    core::TimePoint Now) const {
  return Table.expectedWait(OnTimeQueue.size(), Now) +
         Table.expectedLateWait(LateQueue.size() + 1, Now);
}

core::TimePoint
ObjectiveDispatcher::Implementation::latestStart(const PendingCall &Call,
                                                 core::TimePoint Now) const {
  const auto Reserve = std::chrono::microseconds(static_cast<std::int64_t>(
      LateReserveFactor * Table.work().expectedServiceTimeUs(Call, Now)));
  return Call.Deadline - Reserve;
}

void ObjectiveDispatcher::Implementation::enqueue(PendingCall Call,
                                                  core::TimePoint Now,
                                                  Decisions &Out) {
  Table.recordLimits(Call.Limits, Now);
  if (OnTimeQueue.contains(Call.Token) || LateQueue.contains(Call.Token))
    return reject(Call, core::Error::InvalidArgument, Now, Out);
  if (Now >= Call.Deadline)
    return reject(Call, core::Error::DeadlineExceeded, Now, Out);
  if (!Table.anyServerFor(Call))
    return reject(Call, core::Error::Unavailable, Now, Out);
  Call.Objective = std::min(Call.Objective, Call.Deadline);
  Table.recordArrival(Call, Now);
  Shares.recordArrival(Call.Workspace, Now);
  const double ServiceUs = Table.work().expectedServiceTimeUs(Call, Now);
  OnTimeQueue.push(std::move(Call), Now, ServiceUs);
  dispatch(Now, Out);
}

void ObjectiveDispatcher::Implementation::enqueueLate(
    PendingCall Call, core::TimePoint ArrivalTime, core::TimePoint Now,
    Decisions &Out) {
  const auto Wait = expectedLateWait(Now);
  const double ServiceUs = Table.work().expectedServiceTimeUs(Call, Now);
  const bool Full = OnTimeQueue.size() + LateQueue.size() >= Options.MaxQueued;
  if (!Full && Now + Wait <= latestStart(Call, Now)) {
    LateQueue.push(std::move(Call), ArrivalTime, ServiceUs);
    return;
  }
  // The last call in the order of the shares is rejected in its place, if it
  // belongs to another workspace.
  if (Shares.active() && LateQueue.size() > 0) {
    const std::uint64_t Workspace = Call.Workspace;
    const CallToken Token = Call.Token;
    const bool InTime = Now < latestStart(Call, Now);
    if (InTime) {
      LateQueue.push(std::move(Call), ArrivalTime, ServiceUs);
      const CallToken Last = LateQueue.tokens(Shares, Now).back();
      if (LateQueue.at(Last).Workspace == Workspace)
        return reject(*LateQueue.remove(Token), core::Error::Overloaded, Now,
                      Out);
      return reject(*LateQueue.remove(Last), core::Error::Overloaded, Now, Out);
    }
  }
  reject(Call, core::Error::Overloaded, Now, Out);
}

void ObjectiveDispatcher::Implementation::demoteLateCalls(core::TimePoint Now,
                                                          Decisions &Out) {
  std::size_t Ahead = 0;
  for (const CallToken Token : OnTimeQueue.tokens(Shares, Now)) {
    const PendingCall &Call = OnTimeQueue.at(Token);
    if (Table.onTimeProbabilityAfterWait(Call, Ahead, Now) >=
        MinOnTimeProbability) {
      ++Ahead;
      continue;
    }
    const core::TimePoint ArrivalTime = OnTimeQueue.arrivalTime(Token);
    enqueueLate(*OnTimeQueue.remove(Token), ArrivalTime, Now, Out);
  }
  for (const CallToken Token : LateQueue.tokens())
    if (Now > latestStart(LateQueue.at(Token), Now))
      reject(*LateQueue.remove(Token), core::Error::Overloaded, Now, Out);
}

DecisionFacts
ObjectiveDispatcher::Implementation::factsOf(const internal::ServerLoad &Server,
                                             core::TimePoint Now) const {
  DecisionFacts Out = queueFacts(Now);
  Out.InFlight = Server.inFlight();
  if (Server.Pace) {
    Out.PacePercent = Server.Pace->Percent;
    Out.PaceAge = std::chrono::duration_cast<std::chrono::milliseconds>(
        Now - Server.Pace->At);
  }
  return Out;
}

void ObjectiveDispatcher::Implementation::grant(
    const PendingCall &Call, const internal::Placement &Chosen,
    core::TimePoint Now, Decisions &Out) {
  DecisionFacts Facts = factsOf(Table.at(Chosen.Index), Now);
  Facts.OnTimePercent =
      static_cast<std::uint32_t>(Chosen.InTimeProbability * PercentPerUnit);
  const std::uint32_t Server = Chosen.Index;
  const core::TimePoint HedgeAt = Table.hedgeTime(Call, Server, Now);
  Shares.recordGrant(Call.Workspace,
                     Table.work().expectedServiceTimeUs(Call, Now), Now);
  const std::uint64_t GrantId =
      Grants.add(Call, Server, {.WorkClass = Call.WorkClass});
  Table.startCall(
      Server, {.GrantId = GrantId,
               .Holder = core::hash64(Call.Holder),
               .Start = Now,
               .Objective = Call.Objective,
               .ExpectedUs = Table.work().expectedServiceTimeUs(Call, Now)});
  Out.emplace_back(Granted{.Token = Call.Token,
                           .GrantId = GrantId,
                           .Server = Table.at(Server).Config,
                           .Facts = Facts,
                           .HedgeAt = HedgeAt});
}

// Calls at the front of the queue wait for a slot below the preferred limits,
// which comes free soon. Calls further back, which would miss their objective
// by then, may take the last slots of the servers, on which they run longer.
//
// In the pass for own zones, a call that could be served by its own zone leaves
// a server of another zone to the calls of that zone. Otherwise two zones that
// are both overloaded would exchange their calls, which only costs. Calls whose
// zone has no capacity are not held back.
bool ObjectiveDispatcher::Implementation::placeAnyOnTime(Pass Allowed,
                                                         core::TimePoint Now,
                                                         Decisions &Out) {
  const std::vector<CallToken> Tokens = OnTimeQueue.tokens(Shares, Now);
  const std::size_t Count =
      std::min(Tokens.size(),
               Allowed.Saturate ? MaxSaturatingCandidates : MaxCandidates);
  for (std::size_t Position = 0; Position < Count; ++Position) {
    const PendingCall &Call = OnTimeQueue.at(Tokens[Position]);
    if (Allowed.OwnZone &&
        (Call.Priority != OnTimeQueue.at(Tokens.front()).Priority ||
         Table.zoneShare(Call.Zone) <= 0))
      return false;
    if (placeOnTime(Tokens[Position], Position, Allowed, Now, Out))
      return true;
  }
  return false;
}

bool ObjectiveDispatcher::Implementation::placeOnTime(CallToken Token,
                                                      std::size_t Position,
                                                      Pass Allowed,
                                                      core::TimePoint Now,
                                                      Decisions &Out) {
  const PendingCall &Call = OnTimeQueue.at(Token);
  if (Allowed.Saturate && Table.onTimeProbabilityAfterWait(
                              Call, Position, Now) >= SafeOnTimeProbability)
    return false;
  const auto Found =
      Table.findBest(Call, Goal::Objective, Allowed.Saturate, Now);
  if (Found && Allowed.OwnZone &&
      Table.at(Found->Index).Config.Zone != Call.Zone)
    return false;
  if (Found && Table.requestProbes(Call, Found, Now, PendingProbes))
    return false;
  const double MinScore = Table.gainAfterWait(Call, Position, Now) *
                              Table.bestSuccessRate(Now) * WaitDiscount -
                          (Allowed.Saturate ? 0 : UnsaturatedAllowance);
  if (!Found || Found->InTimeProbability < MinOnTimeProbability ||
      Found->Score < MinScore)
    return false;
  grant(*OnTimeQueue.remove(Token), *Found, Now, Out);
  return true;
}

bool ObjectiveDispatcher::Implementation::placeLate(core::TimePoint Now,
                                                    Decisions &Out) {
  for (const CallToken Token : LateQueue.tokens(Shares, Now)) {
    const PendingCall &Call = LateQueue.at(Token);
    const auto Found = Table.findBest(Call, Goal::Deadline, false, Now);
    if (!Found)
      continue;
    if (Found->Score <= 0) {
      static_cast<void>(Table.requestProbes(Call, Found, Now, PendingProbes));
      // With a price of bytes, the next call may be of the zone that has room.
      if (Table.zonesPriced())
        continue;
      return false;
    }
    grant(*LateQueue.remove(Token), *Found, Now, Out);
    return true;
  }
  return false;
}

void ObjectiveDispatcher::Implementation::dispatch(core::TimePoint Now,
                                                   Decisions &Out) {
  const bool OwnZoneFirst = Table.zonesPriced();
  while ((OwnZoneFirst && placeAnyOnTime({.OwnZone = true}, Now, Out)) ||
         placeAnyOnTime({}, Now, Out) ||
         placeAnyOnTime({.Saturate = true}, Now, Out)) {
  }
  demoteLateCalls(Now, Out);
  while (placeLate(Now, Out)) {
  }
}

void ObjectiveDispatcher::Implementation::release(
    std::uint64_t GrantId, const core::CallReport &Report,
    core::TimePoint Now) {
  if (const auto Ended = Grants.take(GrantId))
    Table.finishCall(Ended->Server, GrantId, Report, Ended->Kept.WorkClass,
                     Now);
}

void ObjectiveDispatcher::Implementation::adopt(const std::string &Holder,
                                                const std::string &ServerId,
                                                std::uint32_t InFlight) {
  if (const auto Index = Table.find(ServerId))
    Table.at(*Index).Adopted +=
        InFlight - Adopted.set(Holder, ServerId, InFlight);
}

void ObjectiveDispatcher::Implementation::dropHolder(std::string_view Holder) {
  for (internal::ObjectiveQueue *Queue : {&OnTimeQueue, &LateQueue})
    for (const CallToken Token : Queue->tokens())
      if (Queue->at(Token).Holder == Holder)
        Queue->remove(Token);
  Grants.dropHolder(Holder, [&](std::uint32_t Server, std::uint64_t GrantId) {
    Table.removeCall(Server, GrantId);
  });
  for (const auto &Removed : Adopted.removeHolder(Holder))
    if (const auto Index = Table.find(Removed.ServerId))
      Table.at(*Index).Adopted -= Removed.Calls;
}

void ObjectiveDispatcher::Implementation::expireGrants(core::TimePoint Now) {
  Grants.dropLost(Now, [&](std::uint32_t Server, std::uint64_t GrantId) {
    Table.removeCall(Server, GrantId);
  });
}

ServerStatus ObjectiveDispatcher::Implementation::statusOf(
    const internal::ServerLoad &Server, core::TimePoint Now) const {
  ServerHealth Health = ServerHealth::Active;
  if (!Server.active())
    Health = ServerHealth::Draining;
  else if (Server.Health.ejected())
    Health = ServerHealth::Ejected;
  else if (Server.Health.ramping(Options, Now))
    Health = ServerHealth::Ramping;
  return {.Id = Server.Config.Id,
          .Health = Health,
          .InFlight = Server.inFlight(),
          .Limit = Server.active() ? Server.slots() : 0,
          .ServiceTime = std::chrono::microseconds(static_cast<std::int64_t>(
              Server.ServiceTimeFactor * Table.work().meanServiceTimeUs()))};
}

ObjectiveDispatcher::ObjectiveDispatcher(DispatchGroup Group,
                                         const DispatcherOptions &Options,
                                         core::TimePoint Now)
    : Self(std::make_unique<Implementation>(std::move(Group), Options, Now)) {}

ObjectiveDispatcher::~ObjectiveDispatcher() = default;

void ObjectiveDispatcher::configure(DispatchGroup Group, core::TimePoint Now,
                                    Decisions &Out) {
  Self->Group = std::move(Group);
  Self->Table.configure(Self->Group.Servers, Now);
  Self->dispatch(Now, Out);
}

void ObjectiveDispatcher::setRegular(bool Regular, core::TimePoint Now) {
  Self->Table.setLimitShare(Regular ? 1 : internal::BackupLimitShare, Now);
}

void ObjectiveDispatcher::enqueue(PendingCall Call, core::TimePoint Now,
                                  Decisions &Out) {
  Self->enqueue(std::move(Call), Now, Out);
}

bool ObjectiveDispatcher::withdraw(CallToken Token, core::TimePoint Now,
                                   Decisions &Out) {
  const bool WasWaiting =
      Self->OnTimeQueue.remove(Token) || Self->LateQueue.remove(Token);
  Self->dispatch(Now, Out);
  return WasWaiting;
}

void ObjectiveDispatcher::release(std::uint64_t GrantId,
                                  const core::CallReport &Report,
                                  core::TimePoint Now, Decisions &Out) {
  Self->release(GrantId, Report, Now);
  Self->dispatch(Now, Out);
}

void ObjectiveDispatcher::adopt(std::string Holder, std::string ServerId,
                                std::uint32_t InFlight,
                                core::TimePoint /*Now*/) {
  Self->adopt(Holder, ServerId, InFlight);
}

void ObjectiveDispatcher::releaseAdopted(std::string Holder,
                                         std::string ServerId,
                                         const core::CallReport &Report,
                                         core::TimePoint Now, Decisions &Out) {
  const auto Index = Self->Table.find(ServerId);
  const std::uint32_t Count = Self->Adopted.count(Holder, ServerId);
  if (Index && Count > 0) {
    Self->adopt(Holder, ServerId, Count - 1);
    Self->Table.recordResult(*Index, Report, Now);
  }
  Self->dispatch(Now, Out);
}

void ObjectiveDispatcher::dropHolder(std::string_view Holder,
                                     core::TimePoint Now, Decisions &Out) {
  Self->dropHolder(Holder);
  Self->dispatch(Now, Out);
}

void ObjectiveDispatcher::tick(core::TimePoint Now, Decisions &Out) {
  Self->LastTick = Now;
  Self->expireGrants(Now);
  Self->Table.refresh(Now);
  Self->dispatch(Now, Out);
}

core::TimePoint ObjectiveDispatcher::nextTick() const {
  return Self->LastTick + (queued() > 0 ? BusyTickInterval : IdleTickInterval);
}

std::optional<core::BackendServer>
ObjectiveDispatcher::nextProbe(core::TimePoint /*Now*/) {
  if (Self->PendingProbes.empty())
    return std::nullopt;
  const std::uint32_t Index = Self->PendingProbes.back();
  Self->PendingProbes.pop_back();
  return Self->Table.at(Index).Config;
}

void ObjectiveDispatcher::recordProbe(std::string_view ServerId,
                                      ProbeResult Result, core::TimePoint Now,
                                      Decisions &Out) {
  if (const auto Index = Self->Table.find(ServerId))
    Self->Table.recordProbe(*Index, Result, Now);
  Self->dispatch(Now, Out);
}

std::vector<ServerStatus>
ObjectiveDispatcher::status(core::TimePoint Now) const {
  std::vector<ServerStatus> All;
  All.reserve(Self->Group.Servers.size());
  for (const core::BackendServer &Config : Self->Group.Servers)
    if (const auto Index = Self->Table.find(Config.Id))
      All.push_back(Self->statusOf(Self->Table.at(*Index), Now));
  return All;
}

// The pace of the probed servers is not known, so the usual one is assumed for
// those that have reported one before.
CallPreview ObjectiveDispatcher::preview(PendingCall Call,
                                         core::TimePoint Now) const {
  Implementation Copy = *Self;
  Copy.PendingProbes.clear();
  for (std::uint32_t Index = 0; Index < Copy.Table.size(); ++Index)
    Copy.Table.at(Index).ProbePending = false;
  internal::LoadTable Before = Copy.Table;
  CallPreview Out{.Waiting = queued()};
  // No user counts that far.
  Call.Token = ~CallToken{0};
  Decisions Made;
  Copy.enqueue(Call, Now, Made);
  while (!internal::decisionOn(Call.Token, Made) &&
         !Copy.PendingProbes.empty()) {
    for (const std::uint32_t Index :
         std::exchange(Copy.PendingProbes, std::vector<std::uint32_t>())) {
      Out.Probed.push_back(Copy.Table.at(Index).Config.Id);
      ProbeResult Usual{.State = ProbeState::Ok};
      if (Copy.Table.at(Index).Pace)
        Usual.Load.emplace();
      Copy.Table.recordProbe(Index, Usual, Now);
      Before.recordProbe(Index, Usual, Now);
    }
    Copy.dispatch(Now, Made);
  }
  Out.Outcome = internal::decisionOn(Call.Token, Made);
  Call.Objective = std::min(Call.Objective, Call.Deadline);
  Before.recordLimits(Call.Limits, Now);
  Out.Servers =
      internal::serverOrder(std::move(Before), status(Now), Call, Now);
  return Out;
}

std::size_t ObjectiveDispatcher::queued() const noexcept {
  return Self->OnTimeQueue.size() + Self->LateQueue.size();
}

std::unique_ptr<Dispatcher> makeDispatcher(DispatchGroup Group,
                                           const DispatcherOptions &Options,
                                           core::TimePoint Now) {
  if (Options.Profile == core::PolicyProfile::Objective)
    return std::make_unique<ObjectiveDispatcher>(std::move(Group), Options,
                                                 Now);
  return std::make_unique<GroupDispatcher>(std::move(Group), Options, Now);
}

} // namespace jujubecart::decision
