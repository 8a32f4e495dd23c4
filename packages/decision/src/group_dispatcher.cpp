#include <jujubecart/decision/group_dispatcher.hpp>

#include <jujubecart/decision/internal/adopted_calls.hpp>
#include <jujubecart/decision/internal/call_queue.hpp>
#include <jujubecart/decision/internal/grant_table.hpp>
#include <jujubecart/decision/internal/probe_schedule.hpp>
#include <jujubecart/decision/internal/server_order.hpp>
#include <jujubecart/decision/internal/server_table.hpp>
#include <jujubecart/decision/internal/wait_estimate.hpp>

#include <algorithm>

namespace jujubecart::decision {

namespace {

using namespace std::chrono_literals;

// Maximum number of waiting calls tried for one free server; the first ones may
// exclude that server.
constexpr std::size_t MaxCandidates = 4;
// While calls wait, ticks are frequent, so that the rising limits of servers in
// slow start and due trial requests of ejected ones are used in time.
constexpr auto BusyTickInterval = 5ms;
constexpr auto IdleTickInterval = 50ms;
// Interval at which limits that change with time are recomputed.
constexpr auto RefreshPeriod = 20ms;
// Interval at which lost grants are dropped.
constexpr auto ExpiryScanPeriod = 100ms;
// Slots that the servers are assumed to have at least, even if all of them
// state low rate limits.
constexpr double MinActiveSlots = 0.01;
// Bounds of the suggested retry delay, before jitter.
constexpr auto MinRetryAfter = 50ms;
constexpr auto MaxRetryAfter = 5s;

/// @brief What is kept with a grant.
struct GrantDetails {
  /// Whether the server had a free slot when the grant was made.
  bool SlotWasFree = false;
  /// Whether the call is a trial request to an ejected server.
  bool Trial = false;
};

} // namespace

class GroupDispatcher::Implementation {
public:
  Implementation(DispatchGroup Group, const DispatcherOptions &Options,
                 core::TimePoint Now)
      : Group(std::move(Group)), Options(Options),
        Table(this->Group.Servers, Options, Now), Probes(Options, Now),
        Random(Options.Seed), Grants(Random() >> 1), LatestTime(Now) {}

  /// @brief Records the current time; called first by every operation.
  void advanceTime(core::TimePoint Now);
  void enqueue(PendingCall Call, core::TimePoint Now, Decisions &Out);
  /// @brief Grants a call if a server may get it now.
  /// @return Whether it was granted.
  bool tryGrant(const internal::QueuedCall &Item, core::TimePoint Now,
                Decisions &Out);
  /// @brief Rejects expired calls, then grants as many waiting calls as the
  /// servers can take; rejects all of them if no server is active.
  void dispatch(core::TimePoint Now, Decisions &Out);
  void release(std::uint64_t GrantId, const core::CallReport &Report,
               core::TimePoint Now);
  void adopt(std::string Holder, std::string ServerId, std::uint32_t InFlight,
             core::TimePoint Now);
  void dropHolder(std::string_view Holder, core::TimePoint Now);
  void expireGrants(core::TimePoint Now);
  /// @param Wait Expected wait, from which the retry delay is derived.
  void reject(CallToken Token, core::Error Reason, core::TimePoint Now,
              Decisions &Out, std::chrono::microseconds Wait = 0us);
  [[nodiscard]] std::chrono::microseconds
  expectedWait(const PendingCall &Call, core::TimePoint Now) const;
  /// @brief Whether any active server is not excluded by the call.
  [[nodiscard]] bool anyServerFor(const PendingCall &Call) const;
  [[nodiscard]] std::chrono::microseconds meanServiceTime() const {
    return std::chrono::microseconds(
        static_cast<std::int64_t>(Table.meanServiceUs()));
  }
  /// @brief The server that was heard from least recently, or nullptr if all
  /// were heard from recently.
  [[nodiscard]] internal::ServerRecord *probeTarget(core::TimePoint Now);
  [[nodiscard]] ServerStatus statusOf(const internal::ServerRecord &Server,
                                      core::TimePoint Now) const;

  DispatchGroup Group;
  DispatcherOptions Options;
  internal::ServerTable Table;
  internal::CallQueue Queue;
  internal::WaitEstimate Wait;
  internal::ProbeSchedule Probes;
  std::mt19937_64 Random;
  internal::GrantTable<GrantDetails> Grants;
  internal::AdoptedCalls Adopted;
  /// Scratch space of dispatch, kept to avoid allocations.
  std::vector<const internal::QueuedCall *> Candidates;
  /// Latest time passed to any operation.
  core::TimePoint LatestTime;
  core::TimePoint LastRefresh;
  core::TimePoint LastExpiryScan;
};

void GroupDispatcher::Implementation::advanceTime(core::TimePoint Now) {
  Probes.advanceTime(Now);
  LatestTime = std::max(LatestTime, Now);
}

void GroupDispatcher::Implementation::reject(CallToken Token,
                                             core::Error Reason,
                                             core::TimePoint /*Now*/,
                                             Decisions &Out,
                                             std::chrono::microseconds Wait) {
  // Jitter keeps rejected callers from retrying all at once.
  const double Jitter = std::uniform_real_distribution(1.0, 2.0)(Random);
  const std::chrono::microseconds Base =
      std::clamp<std::chrono::microseconds>(Wait, MinRetryAfter, MaxRetryAfter);
  Out.emplace_back(Rejected{
      .Token = Token,
      .Reason = Reason,
      .RetryAfter = std::chrono::duration_cast<std::chrono::milliseconds>(
          Base * Jitter)});
}

std::chrono::microseconds
GroupDispatcher::Implementation::expectedWait(const PendingCall &Call,
                                              core::TimePoint Now) const {
  const double Interval =
      Table.meanServiceUs() / std::max(MinActiveSlots, Table.activeSlots());
  return Wait.expectedWait(Queue.countAhead(Call.Priority, Call.CallerHash),
                           Interval, Now);
}

bool GroupDispatcher::Implementation::anyServerFor(
    const PendingCall &Call) const {
  if (Call.Excluded.empty())
    return Table.activeServers() > 0;
  std::uint32_t Remaining = Table.activeServers();
  for (auto Id = Call.Excluded.begin(); Id != Call.Excluded.end(); ++Id) {
    const auto Index = Table.find(*Id);
    // A server that is excluded twice counts once.
    if (Index && Table.at(*Index).active() &&
        std::find(Call.Excluded.begin(), Id, *Id) == Id)
      --Remaining;
  }
  return Remaining > 0;
}

void GroupDispatcher::Implementation::enqueue(PendingCall Call,
                                              core::TimePoint Now,
                                              Decisions &Out) {
  Table.recordLimits(Call.Limits, Now);
  if (Queue.contains(Call.Token))
    return reject(Call.Token, core::Error::InvalidArgument, Now, Out);
  if (Now >= Call.Deadline)
    return reject(Call.Token, core::Error::DeadlineExceeded, Now, Out);
  if (!anyServerFor(Call))
    return reject(Call.Token, core::Error::Unavailable, Now, Out);
  internal::QueuedCall Item{std::move(Call), Now};
  if (Queue.size() == 0 && tryGrant(Item, Now, Out))
    return;
  const auto Expected = expectedWait(Item.Call, Now);
  if (Expected > Options.MaxExpectedWait ||
      Now + Expected + meanServiceTime() > Item.Call.Deadline)
    return reject(Item.Call.Token, core::Error::Overloaded, Now, Out, Expected);
  const auto LatestStart = std::min(Item.Call.Deadline - meanServiceTime() / 2,
                                    Now + 2 * Options.MaxExpectedWait);
  Queue.push(std::move(Item), LatestStart);
  if (Queue.size() > Options.MaxQueued) {
    const CallToken Victim = *Queue.overflowVictim();
    Queue.remove(Victim);
    reject(Victim, core::Error::Overloaded, Now, Out, Expected);
  }
  dispatch(Now, Out);
}

bool GroupDispatcher::Implementation::tryGrant(const internal::QueuedCall &Item,
                                               core::TimePoint Now,
                                               Decisions &Out) {
  if (!Table.hasRoom(Now))
    return false;
  const auto Index = Table.pick(Item, Now);
  if (!Index)
    return false;
  const internal::ServerRecord &Server = Table.at(*Index);
  const std::uint64_t GrantId =
      Grants.add(Item.Call, *Index,
                 {.SlotWasFree = Server.inFlight() < Server.slots(),
                  .Trial = Table.isTrialGrant(Server)});
  Table.addGrant(*Index, GrantId, Now);
  Out.emplace_back(Granted{
      .Token = Item.Call.Token, .GrantId = GrantId, .Server = Server.Config});
  return true;
}

void GroupDispatcher::Implementation::dispatch(core::TimePoint Now,
                                               Decisions &Out) {
  while (const auto Token = Queue.expired(Now)) {
    const PendingCall Call = *Queue.remove(*Token);
    const bool Late = Now + meanServiceTime() >= Call.Deadline;
    reject(*Token,
           Late ? core::Error::DeadlineExceeded : core::Error::Overloaded, Now,
           Out, Options.MaxExpectedWait);
  }
  bool Granting = true;
  while (Granting && Queue.size() > 0 && Table.hasRoom(Now)) {
    Granting = false;
    Queue.nextCalls(MaxCandidates, Candidates);
    for (const internal::QueuedCall *Item : Candidates) {
      if (!tryGrant(*Item, Now, Out))
        continue;
      Queue.serve(Item->Call.Token);
      Wait.recordGrant(Queue.size(), Now);
      Granting = true;
      break;
    }
  }
  if (Table.activeServers() > 0)
    return;
  while (Queue.size() > 0) {
    const CallToken Token = *Queue.overflowVictim();
    Queue.remove(Token);
    reject(Token, core::Error::Unavailable, Now, Out);
  }
}

void GroupDispatcher::Implementation::release(std::uint64_t GrantId,
                                              const core::CallReport &Report,
                                              core::TimePoint Now) {
  if (const auto Ended = Grants.take(GrantId))
    Table.finishGrant(Ended->Server, GrantId, Report, Ended->Kept.SlotWasFree,
                      Ended->Kept.Trial, Now);
}

void GroupDispatcher::Implementation::adopt(std::string Holder,
                                            std::string ServerId,
                                            std::uint32_t InFlight,
                                            core::TimePoint Now) {
  const auto Index = Table.find(ServerId);
  if (!Index)
    return;
  const std::uint32_t Before =
      Adopted.set(std::move(Holder), std::move(ServerId), InFlight);
  Table.setAdopted(*Index, Table.at(*Index).Adopted - Before + InFlight, Now);
}

void GroupDispatcher::Implementation::dropHolder(std::string_view Holder,
                                                 core::TimePoint Now) {
  for (const CallToken Token : Queue.heldBy(Holder))
    Queue.remove(Token);
  Grants.dropHolder(Holder, [&](std::uint32_t Server, std::uint64_t GrantId) {
    Table.dropGrant(Server, GrantId, Now);
  });
  for (const auto &Part : Adopted.removeHolder(Holder)) {
    const std::uint32_t Index = *Table.find(Part.ServerId);
    Table.setAdopted(Index, Table.at(Index).Adopted - Part.Calls, Now);
  }
}

void GroupDispatcher::Implementation::expireGrants(core::TimePoint Now) {
  Grants.dropLost(Now, [&](std::uint32_t Server, std::uint64_t GrantId) {
    Table.dropGrant(Server, GrantId, Now);
  });
}

internal::ServerRecord *
GroupDispatcher::Implementation::probeTarget(core::TimePoint Now) {
  internal::ServerRecord *Target = nullptr;
  core::TimePoint Oldest = Now - Probes.freshPeriod();
  for (std::uint32_t Index = 0; Index < Table.size(); ++Index) {
    internal::ServerRecord &Server = Table.at(Index);
    const auto LastObserved =
        std::max(Server.Health.lastObserved(), Server.LastProbe);
    if (!Server.Configured ||
        Server.Config.State == core::ServerState::Draining ||
        LastObserved > Oldest || (Target && LastObserved == Oldest))
      continue;
    Target = &Server;
    Oldest = LastObserved;
  }
  return Target;
}

ServerStatus
GroupDispatcher::Implementation::statusOf(const internal::ServerRecord &Server,
                                          core::TimePoint Now) const {
  ServerHealth Health = ServerHealth::Active;
  if (!Server.active())
    Health = ServerHealth::Draining;
  else if (Server.Health.ejected())
    Health = ServerHealth::Ejected;
  else if (Table.isSuspect(Server, Now))
    Health = ServerHealth::Suspect;
  else if (Server.Health.ramping(Options, Now))
    Health = ServerHealth::Ramping;
  return {.Id = Server.Config.Id,
          .Health = Health,
          .InFlight = Server.inFlight(),
          .Limit = Table.limit(Server, Now),
          .ServiceTime = std::chrono::microseconds(
              static_cast<std::int64_t>(Server.ServiceUs))};
}

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

// As Implementation::enqueue. The queue is not copied, since it refers to
// itself; a call that would wait is not followed further.
CallPreview GroupDispatcher::preview(PendingCall Call,
                                     core::TimePoint Now) const {
  internal::ServerTable Table = Self->Table;
  Table.recordLimits(Call.Limits, Now);
  CallPreview Out{.Waiting = queued()};
  const auto Reject = [&](core::Error Reason, std::chrono::microseconds Wait) {
    Out.Outcome =
        Rejected{.Reason = Reason,
                 .RetryAfter = std::chrono::ceil<std::chrono::milliseconds>(
                     std::clamp<std::chrono::microseconds>(Wait, MinRetryAfter,
                                                           MaxRetryAfter))};
  };
  Out.Servers = internal::serverOrder(Table, status(Now), Call, Now);
  const auto Wait = Self->expectedWait(Call, Now);
  if (Now >= Call.Deadline)
    Reject(core::Error::DeadlineExceeded, 0us);
  else if (!Self->anyServerFor(Call))
    Reject(core::Error::Unavailable, 0us);
  else if (queued() == 0 && !Out.Servers.empty() &&
           Out.Servers.front().Verdict == ServerVerdict::Candidate)
    Out.Outcome = Granted{
        .Server = Table.at(*Table.find(Out.Servers.front().Status.Id)).Config};
  else if (Wait > Self->Options.MaxExpectedWait ||
           Now + Wait + Self->meanServiceTime() > Call.Deadline)
    Reject(core::Error::Overloaded, Wait);
  return Out;
}

std::size_t GroupDispatcher::queued() const noexcept {
  return Self->Queue.size();
}

std::uint64_t GroupDispatcher::comparedServers() const noexcept {
  return Self->Table.comparedServers();
}

std::string_view toString(ServerHealth Health) noexcept {
  switch (Health) {
  case ServerHealth::Active:
    return "active";
  case ServerHealth::Ramping:
    return "ramping";
  case ServerHealth::Suspect:
    return "suspect";
  case ServerHealth::Ejected:
    return "ejected";
  case ServerHealth::Draining:
    return "draining";
  }
  return "unknown";
}

} // namespace jujubecart::decision
