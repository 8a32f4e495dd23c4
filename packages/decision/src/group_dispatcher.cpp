#include <jujubecart/decision/group_dispatcher.hpp>

#include <jujubecart/decision/internal/group_dispatcher_implementation.hpp>

#include <algorithm>

namespace jujubecart::decision {

namespace {

using namespace std::chrono_literals;

// While calls wait, ticks are frequent, so that the rising limits of servers in
// slow start and due trial requests of ejected ones are used in time.
constexpr auto BusyTickInterval = 5ms;
constexpr auto IdleTickInterval = 50ms;
// Interval at which limits that change with time are recomputed.
constexpr auto RefreshPeriod = 20ms;
// Interval at which lost grants are dropped.
constexpr auto ExpiryScanPeriod = 100ms;

} // namespace

GroupDispatcher::GroupDispatcher(DispatchGroup Group,
                                 const DispatcherOptions &Options,
                                 core::TimePoint Now)
    : Self(std::make_unique<Implementation>(std::move(Group), Options, Now)) {}

GroupDispatcher::GroupDispatcher(GroupDispatcher &&) noexcept = default;

GroupDispatcher &
GroupDispatcher::operator=(GroupDispatcher &&) noexcept = default;

GroupDispatcher::~GroupDispatcher() = default;

void GroupDispatcher::configure(DispatchGroup Group, core::TimePoint Now,
                                Decisions &Out) {
  Self->advanceTime(Now);
  Self->Group = std::move(Group);
  Self->Table.configure(Self->Group.Servers, Now);
  Self->dispatch(Now, Out);
}

void GroupDispatcher::enqueue(PendingCall Call, core::TimePoint Now,
                              Decisions &Out) {
  Self->advanceTime(Now);
  Self->enqueue(std::move(Call), Now, Out);
}

bool GroupDispatcher::withdraw(CallToken Token, core::TimePoint Now,
                               Decisions &Out) {
  Self->advanceTime(Now);
  const bool Waiting = Self->Queue.remove(Token).has_value();
  Self->dispatch(Now, Out);
  return Waiting;
}

void GroupDispatcher::release(std::uint64_t GrantId,
                              const core::CallReport &Report,
                              core::TimePoint Now, Decisions &Out) {
  Self->advanceTime(Now);
  Self->release(GrantId, Report, Now);
  Self->dispatch(Now, Out);
}

void GroupDispatcher::setRegular(bool Regular, core::TimePoint Now) {
  Self->Table.setLimitShare(Regular ? 1 : internal::BackupLimitShare, Now);
}

void GroupDispatcher::adopt(std::string Holder, std::string ServerId,
                            std::uint32_t InFlight, core::TimePoint Now) {
  Self->advanceTime(Now);
  Self->adopt(std::move(Holder), std::move(ServerId), InFlight, Now);
}

void GroupDispatcher::releaseAdopted(std::string Holder, std::string ServerId,
                                     const core::CallReport &Report,
                                     core::TimePoint Now, Decisions &Out) {
  Self->advanceTime(Now);
  const std::uint32_t Count = Self->Adopted.count(Holder, ServerId);
  if (Count > 0) {
    const std::uint32_t Index = *Self->Table.find(ServerId);
    Self->adopt(std::move(Holder), std::move(ServerId), Count - 1, Now);
    Self->Table.recordResult(Index, Report, false, Now);
  }
  Self->dispatch(Now, Out);
}

void GroupDispatcher::dropHolder(std::string_view Holder, core::TimePoint Now,
                                 Decisions &Out) {
  Self->advanceTime(Now);
  Self->dropHolder(Holder, Now);
  Self->dispatch(Now, Out);
}

void GroupDispatcher::tick(core::TimePoint Now, Decisions &Out) {
  Self->advanceTime(Now);
  if (Now - Self->LastRefresh >= RefreshPeriod) {
    Self->LastRefresh = Now;
    Self->Table.refresh(Now);
  }
  if (Now - Self->LastExpiryScan >= ExpiryScanPeriod) {
    Self->LastExpiryScan = Now;
    Self->expireGrants(Now);
  }
  Self->dispatch(Now, Out);
}

core::TimePoint GroupDispatcher::nextTick() const {
  const auto Expiry = Self->Queue.earliestExpiry();
  if (!Expiry)
    return Self->LatestTime + IdleTickInterval;
  return std::clamp(*Expiry, Self->LatestTime,
                    Self->LatestTime + BusyTickInterval);
}

std::optional<core::BackendServer>
GroupDispatcher::nextProbe(core::TimePoint Now) {
  Self->advanceTime(Now);
  if (!Self->Probes.allowed(Now))
    return std::nullopt;
  internal::ServerRecord *Target = Self->probeTarget(Now);
  if (!Target || !Self->Probes.tryTake(Now))
    return std::nullopt;
  Target->LastProbe = Now;
  return Target->Config;
}

void GroupDispatcher::recordProbe(std::string_view ServerId, ProbeResult Result,
                                  core::TimePoint Now, Decisions &Out) {
  Self->advanceTime(Now);
  if (const auto Index = Self->Table.find(ServerId))
    Self->Table.recordProbe(*Index, Result, Now);
  Self->dispatch(Now, Out);
}

std::vector<ServerStatus> GroupDispatcher::status(core::TimePoint Now) const {
  std::vector<ServerStatus> All;
  All.reserve(Self->Group.Servers.size());
  for (const core::BackendServer &Config : Self->Group.Servers)
    All.push_back(
        Self->statusOf(Self->Table.at(*Self->Table.find(Config.Id)), Now));
  return All;
}

std::size_t GroupDispatcher::queued() const noexcept {
  return Self->Queue.size();
}

std::uint64_t GroupDispatcher::comparedServers() const noexcept {
  return Self->Table.comparedServers();
}

} // namespace jujubecart::decision
