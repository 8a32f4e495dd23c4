#include <jujubecart/decision/objective_dispatcher.hpp>

#include <jujubecart/decision/group_dispatcher.hpp>
#include <jujubecart/decision/internal/adopted_calls.hpp>
#include <jujubecart/decision/internal/load_table.hpp>
#include <jujubecart/decision/internal/objective_queue.hpp>

#include <algorithm>
#include <unordered_map>

namespace jujubecart::decision {

namespace {

using namespace std::chrono_literals;

constexpr auto BusyTick = 8ms;
constexpr auto IdleTick = 100ms;
// A grant that is not returned this long after the deadline of its call was
// lost by its holder.
constexpr auto GrantGrace = 2s;
constexpr auto LeastRetryAfter = 50ms;
constexpr auto MostRetryAfter = 5s;
// Waiting calls that are compared for one free server.
constexpr std::size_t MostCandidates = 8;
// A call that most likely misses its objective waits behind those that can
// still meet theirs.
constexpr double LeastOnTime = 0.3;
// Waiting is preferred to a server that is worse by less than this.
constexpr double WaitDiscount = 0.9;
// Part of the time until the deadline that a late call needs at least, as a
// multiple of its work.
constexpr double LateReserve = 2;
constexpr double PercentPerUnit = 100;

} // namespace

class ObjectiveDispatcher::Implementation {
public:
  Implementation(DispatchGroup Group, const DispatcherOptions &Options,
                 core::TimePoint Now)
      : Group(std::move(Group)), Options(Options),
        Table(this->Group.Servers, Options), Random(Options.Seed),
        NextGrant(Random() >> 1), Last(Now) {}

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
  internal::ObjectiveQueue OnTime;
  internal::ObjectiveQueue Late;
  internal::AdoptedCalls Adopted;
  std::mt19937_64 Random;
  std::uint64_t NextGrant;
  core::TimePoint Last;
  /// Servers whose pace would improve a choice, in order.
  std::vector<std::uint32_t> ProbesWanted;

private:
  struct Grant {
    std::string Holder;
    std::uint32_t Server = 0;
    std::uint64_t WorkClass = 0;
    core::TimePoint Expires;
  };

  [[nodiscard]] bool placeOnTime(std::size_t Position, core::TimePoint Now,
                                 Decisions &Out);
  [[nodiscard]] bool placeLate(core::TimePoint Now, Decisions &Out);
  void grant(const PendingCall &Call, const internal::Placement &Chosen,
             core::TimePoint Now, Decisions &Out);
  [[nodiscard]] DecisionFacts factsOf(const internal::ServerLoad &Server,
                                      core::TimePoint Now) const;
  void demote(core::TimePoint Now, Decisions &Out);
  void acceptLate(PendingCall Call, core::TimePoint Arrived,
                  core::TimePoint Now, Decisions &Out);
  void reject(const PendingCall &Call, core::Error Reason, Decisions &Out);
  [[nodiscard]] core::TimePoint latestStart(const PendingCall &Call,
                                            core::TimePoint Now) const;

  std::unordered_map<std::uint64_t, Grant> Grants;
};

void ObjectiveDispatcher::Implementation::reject(const PendingCall &Call,
                                                 core::Error Reason,
                                                 Decisions &Out) {
  // Jitter keeps refused callers from returning together.
  const double Jitter = std::uniform_real_distribution(1.0, 1.5)(Random);
  const auto Wait = std::clamp<std::chrono::microseconds>(
      Table.expectedWait(OnTime.size() + Late.size()), LeastRetryAfter,
      MostRetryAfter);
  Out.emplace_back(Rejected{
      .Token = Call.Token,
      .Reason = Reason,
      .RetryAfter =
          std::chrono::duration_cast<std::chrono::milliseconds>(Wait * Jitter),
      .Facts =
          DecisionFacts{.Waiting = OnTime.size(), .WaitingLate = Late.size()}});
}

core::TimePoint
ObjectiveDispatcher::Implementation::latestStart(const PendingCall &Call,
                                                 core::TimePoint Now) const {
  const auto Needed = std::chrono::microseconds(static_cast<std::int64_t>(
      LateReserve * Table.work().expectedUs(Call, Now)));
  return Call.Deadline - Needed;
}

void ObjectiveDispatcher::Implementation::enqueue(PendingCall Call,
                                                  core::TimePoint Now,
                                                  Decisions &Out) {
  if (OnTime.contains(Call.Token) || Late.contains(Call.Token))
    return reject(Call, core::Error::InvalidArgument, Out);
  if (Now >= Call.Deadline)
    return reject(Call, core::Error::DeadlineExceeded, Out);
  if (!Table.anyServerFor(Call))
    return reject(Call, core::Error::Unavailable, Out);
  Call.Objective = std::min(Call.Objective, Call.Deadline);
  OnTime.push(std::move(Call), Now);
  dispatch(Now, Out);
}

// A call that misses its objective is still served if there is room for it
// before its deadline; otherwise it is refused at once.
void ObjectiveDispatcher::Implementation::acceptLate(PendingCall Call,
                                                     core::TimePoint Arrived,
                                                     core::TimePoint Now,
                                                     Decisions &Out) {
  const auto Wait = Table.expectedWait(OnTime.size() + Late.size() + 1);
  if (Now + Wait > latestStart(Call, Now) ||
      OnTime.size() + Late.size() >= Options.MaxQueued)
    return reject(Call, core::Error::Overloaded, Out);
  Late.push(std::move(Call), Arrived);
}

void ObjectiveDispatcher::Implementation::demote(core::TimePoint Now,
                                                 Decisions &Out) {
  std::size_t Ahead = 0;
  for (const CallToken Token : OnTime.tokens()) {
    const PendingCall &Call = OnTime.at(Token);
    if (Table.onTimeAfterWait(Call, Ahead, Now) >= LeastOnTime) {
      ++Ahead;
      continue;
    }
    const core::TimePoint Arrived = OnTime.arrived(Token);
    acceptLate(*OnTime.remove(Token), Arrived, Now, Out);
  }
  for (const CallToken Token : Late.tokens())
    if (Now > latestStart(Late.at(Token), Now))
      reject(*Late.remove(Token), core::Error::Overloaded, Out);
}

DecisionFacts
ObjectiveDispatcher::Implementation::factsOf(const internal::ServerLoad &Server,
                                             core::TimePoint Now) const {
  DecisionFacts Out{.InFlight = Server.inFlight(),
                    .Waiting = OnTime.size(),
                    .WaitingLate = Late.size()};
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
  const std::uint64_t GrantId = NextGrant++;
  DecisionFacts Facts = factsOf(Table.at(Chosen.Index), Now);
  Facts.OnTimePercent =
      static_cast<std::uint32_t>(Chosen.OnTime * PercentPerUnit);
  const std::uint32_t Server = Chosen.Index;
  Grants.emplace(GrantId, Grant{.Holder = Call.Holder,
                                .Server = Server,
                                .WorkClass = Call.WorkClass,
                                .Expires = Call.Deadline + GrantGrace});
  Table.start(Server, {.GrantId = GrantId,
                       .Start = Now,
                       .Objective = Call.Objective,
                       .WorkUs = Table.work().expectedUs(Call, Now)});
  Out.emplace_back(Granted{.Token = Call.Token,
                           .GrantId = GrantId,
                           .Server = Table.at(Server).Config,
                           .Facts = Facts});
}

bool ObjectiveDispatcher::Implementation::placeOnTime(std::size_t Position,
                                                      core::TimePoint Now,
                                                      Decisions &Out) {
  const CallToken Token = OnTime.tokens()[Position];
  const PendingCall &Call = OnTime.at(Token);
  const double Waiting = Table.onTimeAfterWait(Call, Position, Now);
  for (const bool Saturate : {false, true}) {
    const auto Found = Table.best(Call, Call.Objective, Saturate, Now);
    const bool Best = Found && Found->Fast && !Found->Far;
    if (Found && !Best &&
        Table.requestProbes(Call, Found->Fast, Now, ProbesWanted))
      return false;
    if (!Found || Found->OnTime < LeastOnTime ||
        Found->Value < Waiting * WaitDiscount - (Saturate ? 0 : 0.1))
      continue;
    grant(*OnTime.remove(Token), *Found, Now, Out);
    return true;
  }
  return false;
}

bool ObjectiveDispatcher::Implementation::placeLate(core::TimePoint Now,
                                                    Decisions &Out) {
  for (const CallToken Token : Late.tokens()) {
    const PendingCall &Call = Late.at(Token);
    const auto Found = Table.best(Call, Call.Deadline, false, Now);
    if (!Found)
      continue;
    grant(*Late.remove(Token), *Found, Now, Out);
    return true;
  }
  return false;
}

void ObjectiveDispatcher::Implementation::dispatch(core::TimePoint Now,
                                                   Decisions &Out) {
  bool Placed = true;
  while (Placed) {
    Placed = false;
    const std::size_t Count = std::min(OnTime.size(), MostCandidates);
    for (std::size_t Position = 0; Position < Count && !Placed; ++Position)
      Placed = placeOnTime(Position, Now, Out);
  }
  demote(Now, Out);
  while (placeLate(Now, Out)) {
  }
}

void ObjectiveDispatcher::Implementation::release(
    std::uint64_t GrantId, const core::CallReport &Report,
    core::TimePoint Now) {
  const auto Found = Grants.find(GrantId);
  if (Found == Grants.end())
    return;
  const Grant Ended = std::move(Found->second);
  Grants.erase(Found);
  Table.finish(Ended.Server, GrantId, Report, Ended.WorkClass, Now);
}

void ObjectiveDispatcher::Implementation::adopt(const std::string &Holder,
                                                const std::string &ServerId,
                                                std::uint32_t InFlight) {
  if (const auto Index = Table.find(ServerId))
    Table.at(*Index).Adopted +=
        InFlight - Adopted.set(Holder, ServerId, InFlight);
}

void ObjectiveDispatcher::Implementation::dropHolder(std::string_view Holder) {
  for (internal::ObjectiveQueue *Queue : {&OnTime, &Late})
    for (const CallToken Token : Queue->tokens())
      if (Queue->at(Token).Holder == Holder)
        Queue->remove(Token);
  std::erase_if(Grants, [&](const auto &Item) {
    if (Item.second.Holder != Holder)
      return false;
    Table.forget(Item.second.Server, Item.first);
    return true;
  });
  for (const auto &Part : Adopted.drop(Holder))
    if (const auto Index = Table.find(Part.ServerId))
      Table.at(*Index).Adopted -= Part.Calls;
}

void ObjectiveDispatcher::Implementation::expireGrants(core::TimePoint Now) {
  std::erase_if(Grants, [&](const auto &Item) {
    if (Item.second.Expires > Now)
      return false;
    Table.forget(Item.second.Server, Item.first);
    return true;
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
          .ServiceTime = std::chrono::microseconds(
              static_cast<std::int64_t>(Server.Speed * Table.work().meanUs()))};
}

ObjectiveDispatcher::ObjectiveDispatcher(DispatchGroup Group,
                                         DispatcherOptions Options,
                                         core::TimePoint Now)
    : Self(std::make_unique<Implementation>(std::move(Group), Options, Now)) {}

ObjectiveDispatcher::~ObjectiveDispatcher() = default;

void ObjectiveDispatcher::configure(DispatchGroup Group, core::TimePoint Now,
                                    Decisions &Out) {
  Self->Group = std::move(Group);
  Self->Table.configure(Self->Group.Servers);
  Self->dispatch(Now, Out);
}

void ObjectiveDispatcher::enqueue(PendingCall Call, core::TimePoint Now,
                                  Decisions &Out) {
  Self->enqueue(std::move(Call), Now, Out);
}

bool ObjectiveDispatcher::withdraw(CallToken Token, core::TimePoint Now,
                                   Decisions &Out) {
  const bool Waiting = Self->OnTime.remove(Token) || Self->Late.remove(Token);
  Self->dispatch(Now, Out);
  return Waiting;
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
    Self->Table.result(*Index, Report, Now);
  }
  Self->dispatch(Now, Out);
}

void ObjectiveDispatcher::dropHolder(std::string_view Holder,
                                     core::TimePoint Now, Decisions &Out) {
  Self->dropHolder(Holder);
  Self->dispatch(Now, Out);
}

void ObjectiveDispatcher::tick(core::TimePoint Now, Decisions &Out) {
  Self->Last = Now;
  Self->expireGrants(Now);
  Self->dispatch(Now, Out);
}

core::TimePoint ObjectiveDispatcher::nextTick() const {
  return Self->Last + (queued() > 0 ? BusyTick : IdleTick);
}

std::optional<core::BackendServer>
ObjectiveDispatcher::nextProbe(core::TimePoint /*Now*/) {
  if (Self->ProbesWanted.empty())
    return std::nullopt;
  const std::uint32_t Index = Self->ProbesWanted.back();
  Self->ProbesWanted.pop_back();
  return Self->Table.at(Index).Config;
}

void ObjectiveDispatcher::probeResult(std::string_view ServerId,
                                      ProbeResult Result, core::TimePoint Now,
                                      Decisions &Out) {
  if (const auto Index = Self->Table.find(ServerId))
    Self->Table.probed(*Index, Result, Now);
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

std::size_t ObjectiveDispatcher::queued() const noexcept {
  return Self->OnTime.size() + Self->Late.size();
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
