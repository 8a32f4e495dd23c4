#include <jujubecart/decision/objective_dispatcher.hpp>

#include <jujubecart/decision/group_dispatcher.hpp>
#include <jujubecart/decision/internal/objective_dispatcher_implementation.hpp>
#include <jujubecart/decision/internal/server_order.hpp>

#include <algorithm>
#include <utility>

namespace jujubecart::decision {

namespace {

using namespace std::chrono_literals;

// Time between two ticks while calls wait, and otherwise.
constexpr auto BusyTickInterval = 8ms;
constexpr auto IdleTickInterval = 100ms;

} // namespace

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

// The pace of the servers whose probes are awaited is not known, so the usual
// one is assumed for those that have reported one before.
CallPreview ObjectiveDispatcher::preview(PendingCall Call,
                                         core::TimePoint Now) const {
  Implementation Copy = *Self;
  internal::LoadTable Before = Copy.Table;
  CallPreview Out{.Waiting = queued()};
  // No user counts that far.
  Call.Token = ~CallToken{0};
  Decisions Made;
  Copy.enqueue(Call, Now, Made);
  for (bool Answered = true;
       Answered && !internal::decisionOn(Call.Token, Made);) {
    Answered = false;
    for (std::uint32_t Index = 0; Index < Copy.Table.size(); ++Index) {
      if (!Copy.Table.at(Index).ProbePending)
        continue;
      Answered = true;
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
