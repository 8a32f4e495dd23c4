#include "dispatch_state.hpp"
#include "timer.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <jujubecart/decision/rendezvous.hpp>

namespace jujubecart::peers {

namespace asio = boost::asio;

namespace internal {

constexpr std::chrono::milliseconds IdleSleep{100};
constexpr std::chrono::milliseconds ProbeTimeout{500};
// Calls reach a new dispatcher shortly before it learns of its rank.
constexpr std::chrono::seconds TermGap{2};

} // namespace internal

void DispatchService::start() {
  asio::co_spawn(Timer.get_executor(), loop(), asio::detached);
}

void DispatchService::stop() {
  Stopped = true;
  internal::cancelLater(Timer);
}

// Ends a long sleep because a call waits now.
void DispatchService::wake() {
  if (Sleeping.exchange(false))
    internal::cancelLater(Timer);
}

core::Awaitable<void> DispatchService::loop() {
  // Several rounds per heartbeat keep the jitter of the heartbeat small.
  const auto Short = Env.Links.options().HeartbeatEvery / 4;
  while (!Stopped) {
    updateRanks();
    // Set before the round, so that a call added during it ends the sleep.
    Sleeping = true;
    const core::TimePoint Now = Env.Time.now();
    const core::TimePoint Due = round(Now);
    const core::TimePoint Longest = Now + internal::IdleSleep;
    if (heartbeat(Now)) {
      Sleeping = false;
      Timer.expires_at(std::min(Due, Now + Short));
    } else {
      Timer.expires_at(std::min(Due, Longest));
    }
    if (Timer.expiry() < Now + std::chrono::milliseconds(1))
      Timer.expires_at(Now + std::chrono::milliseconds(1));
    boost::system::error_code Ignored;
    co_await Timer.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  }
}

core::TimePoint DispatchService::round(core::TimePoint Now) {
  std::vector<GroupState> Known;
  {
    const std::lock_guard Lock(Mutex);
    for (const auto &[Hash, Item] : Groups)
      Known.push_back(Item);
  }
  core::TimePoint Due = core::TimePoint::max();
  std::vector<std::pair<GroupState, core::BackendServer>> Probes;
  for (const GroupState &Target : Known) {
    {
      const std::lock_guard Lock(Target->Mutex);
      if (Target->Dispatcher->nextTick() <= Now) {
        decision::Decisions Out;
        Target->Dispatcher->tick(Now, Out);
        apply(*Target, Out);
      }
      Due = std::min(Due, Target->Dispatcher->nextTick());
      if (Target->Ranked && !Target->ProbesOnDemand && Env.Prober != nullptr)
        if (auto Server = Target->Dispatcher->nextProbe(Now))
          Probes.emplace_back(Target, std::move(*Server));
    }
    startProbes(Target);
  }
  for (auto &[Target, Server] : Probes)
    asio::co_spawn(Executor, probe(Target, std::move(Server)), asio::detached);
  return Due;
}

// Sends the probes that the last decisions asked for; called without locks.
void DispatchService::startProbes(const GroupState &Target) {
  if (Env.Prober == nullptr || !Target->ProbesOnDemand)
    return;
  std::vector<core::BackendServer> Servers;
  {
    const std::lock_guard Lock(Target->Mutex);
    while (auto Server = Target->Dispatcher->nextProbe(Env.Time.now()))
      Servers.push_back(std::move(*Server));
  }
  for (core::BackendServer &Server : Servers)
    asio::co_spawn(Executor, probe(Target, std::move(Server)), asio::detached);
}

core::Awaitable<void> DispatchService::probe(GroupState Target,
                                             core::BackendServer Server) {
  ++Env.Links.counters().Probes;
  const std::string Id = Server.Id;
  const decision::ProbeResult Result = co_await Env.Prober->probe(
      std::move(Server), Env.Time.now() + internal::ProbeTimeout);
  {
    const std::lock_guard Lock(Target->Mutex);
    decision::Decisions Out;
    Target->Dispatcher->probeResult(Id, Result, Env.Time.now(), Out);
    apply(*Target, Out);
  }
  startProbes(Target);
}

// Sends a frame to every VM whose calls wait and that got none lately.
bool DispatchService::heartbeat(core::TimePoint Now) {
  const auto Every = Env.Links.options().HeartbeatEvery;
  std::vector<ClientPtr> Waiting;
  {
    const std::lock_guard Lock(Mutex);
    for (const auto &[Number, Item] : Clients)
      if (Item->Waiting > 0)
        Waiting.push_back(Item);
  }
  for (const ClientPtr &Item : Waiting)
    if (Now - Item->Io->lastSent() >= Every * 3 / 4)
      Item->Io->send(
          Queued{.Waiting = static_cast<std::uint32_t>(Item->Waiting)});
  return !Waiting.empty();
}

// Only the VM that ranks first for a group probes its servers.
void DispatchService::updateRanks() {
  const GroupDirectory::Index Index = Env.Groups.current();
  const std::uint64_t Version = Env.Members.version();
  if (Version == RankedVersion && Index->Revision == RankedRevision)
    return;
  RankedVersion = Version;
  RankedRevision = Index->Revision;
  const std::vector<core::Member> Members = Env.Members.members();
  const std::string Self = Env.Members.self().Id;
  for (const auto &[Hash, Entry] : Index->ByHash) {
    const auto Rank =
        decision::rankMembers(Entry->Group.Name, Entry->Group.Region, Members);
    const bool First = !Rank.empty() && Rank.front() == Self;
    const GroupState Target = First ? group(Entry) : findGroup(Hash);
    if (!Target)
      continue;
    const std::lock_guard Lock(Target->Mutex);
    // What an earlier term knew about the servers is outdated.
    const core::TimePoint Now = Env.Time.now();
    if (First && !Target->Ranked && Target->Calls.empty() &&
        Now - Target->LastUsed > internal::TermGap)
      Target->Dispatcher =
          decision::makeDispatcher(Entry->Group, Entry->Options, Now);
    Target->Ranked = First;
  }
}

} // namespace jujubecart::peers
