#include <jujubecart/decision/internal/group_dispatcher_implementation.hpp>
#include <jujubecart/decision/internal/server_order.hpp>

#include <algorithm>

namespace jujubecart::decision {

namespace {

using namespace std::chrono_literals;

// Maximum number of waiting calls tried for one free server; the first ones may
// exclude that server.
constexpr std::size_t MaxCandidates = 4;
// Slots that the servers are assumed to have at least, even if all of them
// state low rate limits.
constexpr double MinActiveSlots = 0.01;
// Bounds of the suggested retry delay, before jitter.
constexpr auto MinRetryAfter = 50ms;
constexpr auto MaxRetryAfter = 5s;

} // namespace

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

} // namespace jujubecart::decision
