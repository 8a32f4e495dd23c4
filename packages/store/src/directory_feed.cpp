#include <jujubecart/store/directory_feed.hpp>

#include <jujubecart/core/log.hpp>

#include <algorithm>

namespace jujubecart::store {

namespace internal {

constexpr unsigned MaxBackoffDoublings = 8;
constexpr std::chrono::milliseconds RegistrationPoll{1000};
constexpr std::chrono::milliseconds ListPoll{10};
// How often a VM that hears from others looks whether it still does.
constexpr std::chrono::milliseconds ListenPoll{120};
// A write is seen by the watch within its batch delay and one answer.
constexpr std::chrono::milliseconds RegistrationSettles{5000};
// A watch for changes that have happened already returns at once.
constexpr std::chrono::milliseconds CatchUpWait{2};

} // namespace internal

DirectoryFeed::DirectoryFeed(const Environment &Surroundings, core::Member Self,
                             Directory::Zones ZoneRegions,
                             DirectoryFeedOptions Options)
    : Env(Surroundings), Self(std::move(Self)), Options(Options),
      Known(Surroundings.Codec, std::move(ZoneRegions)),
      LastReached(Surroundings.Time.now()), LastConfirmed(LastReached) {}

core::Awaitable<void> DirectoryFeed::run() {
  while (!Stopped) {
    bool Done = false;
    if (!Loaded) {
      Done = co_await load();
    } else if (mustRead()) {
      Done = co_await follow();
    } else {
      co_await Env.Delays.sleepUntil(Env.Time.now() + internal::ListenPoll);
      if (Known.expire(Env.Time.now()))
        publish();
      continue;
    }
    if (!Done)
      co_await backOff();
  }
}

// One VM reads all the time and tells the others. The next ones take over if
// they hear nothing, in order of their rank, so that few of them ask at once.
bool DirectoryFeed::mustRead() const {
  const std::size_t Rank = Env.ReaderRank();
  if (Rank == 0 || Gap)
    return true;
  const auto Steps = std::min(Rank - 1, Options.MostSilenceSteps);
  return Env.Time.now() - LastConfirmed >
         Options.SilenceLimit +
             Options.SilenceStep * static_cast<std::int64_t>(Steps);
}

void DirectoryFeed::confirm() {
  const core::TimePoint Now = Env.Time.now();
  if (Now - LastConfirmed >= Options.OutageTime)
    Known.distrustDeletions(Now + Options.ReturnTime);
  LastConfirmed = Now;
}

void DirectoryFeed::receive(const core::EntryChanges &Changes) {
  if (!Loaded)
    return;
  if (Changes.After > Known.asOf()) {
    Gap = true;
    return;
  }
  confirm();
  if (Changes.List.AsOf <= Known.asOf())
    return;
  Known.apply(Changes.List, Env.Time.now());
  if (!Changes.List.Entries.empty())
    publish();
}

// A start lists every page, so it reads them stale, which costs a tenth, and
// then the changes since, before anything is used.
core::Awaitable<bool> DirectoryFeed::load() {
  const auto All =
      co_await Env.Store.list(ListMode, Env.Time.now() + Options.AnswerTimeout);
  if (!All) {
    failed("list", All.error());
    co_return false;
  }
  Known.replace(*All, Env.Time.now());
  Listed = true;
  if (ListMode == core::ReadMode::Stale) {
    const bool CaughtUp = co_await catchUp();
    if (!CaughtUp)
      co_return false;
  }
  reached();
  // After a lost history only the newest entries are certain to go on from.
  ListMode = core::ReadMode::Latest;
  Loaded = true;
  publish();
  co_return true;
}

core::Awaitable<bool> DirectoryFeed::catchUp() {
  // VMs that start together know each other after one read if all have
  // registered before it.
  if (!Known.registered(Self))
    co_await Env.Delays.sleepUntil(Env.Time.now() + Options.JoinDelay);
  const auto Changed = co_await Env.Store.changes(
      Known.asOf(), Env.Time.now() + internal::CatchUpWait);
  if (!Changed) {
    if (Changed.error() == core::Error::HistoryLost)
      ListMode = core::ReadMode::Latest;
    failed("catch up", Changed.error());
    co_return false;
  }
  Known.apply(*Changed, Env.Time.now());
  co_return true;
}

core::Awaitable<bool> DirectoryFeed::follow() {
  const core::TimePoint Until =
      std::min(Env.Time.now() + Options.WatchTime,
               std::max(Known.nextExpiry(), Env.Time.now()));
  const core::Revision After = Known.asOf();
  const auto Changed = co_await Env.Store.changes(After, Until);
  if (!Changed) {
    if (Changed.error() == core::Error::HistoryLost) {
      core::LogLine(core::LogLevel::Warning, "store.history_lost")
          .field("after", Known.asOf());
      Loaded = false;
      co_return true;
    }
    failed("watch", Changed.error());
    co_return false;
  }
  reached();
  Gap = false;
  Known.apply(*Changed, Env.Time.now());
  Env.Share({.After = After, .List = *Changed});
  const bool Expired = Known.expire(Env.Time.now());
  if (Changed->Entries.empty() && !Expired)
    co_return true;
  publish();
  co_await Env.Delays.sleepUntil(Env.Time.now() + Options.BatchDelay);
  co_return true;
}

core::Awaitable<void> DirectoryFeed::backOff() {
  const unsigned Doublings =
      std::min(Failures == 0 ? 0 : Failures - 1, internal::MaxBackoffDoublings);
  const auto Longest =
      std::min(Options.BackoffHigh, Options.BackoffLow * (1U << Doublings));
  // Between half and all of it, so that VMs do not return in step.
  const auto Part = std::chrono::milliseconds(
      Env.Random() % static_cast<std::uint64_t>(Longest.count() / 2 + 1));
  co_await Env.Delays.sleepUntil(Env.Time.now() + Longest / 2 + Part);
  if (Known.expire(Env.Time.now()))
    publish();
}

void DirectoryFeed::reached() {
  const core::TimePoint Now = Env.Time.now();
  if (Failures > 0) {
    const auto Away = std::chrono::duration_cast<std::chrono::milliseconds>(
        Now - LastReached);
    core::LogLine(core::LogLevel::Info, "store.regained")
        .field("away_ms", Away.count());
  }
  confirm();
  Failures = 0;
  LastReached = Now;
}

void DirectoryFeed::failed(std::string_view Call, const std::error_code &Why) {
  if (++Failures == 1)
    core::LogLine(core::LogLevel::Warning, "store.lost")
        .field("call", Call)
        .field("error", Why)
        .field("revision", Known.asOf());
}

void DirectoryFeed::publish() {
  if (Known.configured()) {
    const auto Current = Env.Table.current();
    const auto Fresh = Known.snapshot(*Current);
    const bool Same = Current->entries() == Fresh->entries() &&
                      Current->routing() == Fresh->routing();
    if (!Same)
      Env.Table.apply(Fresh);
  }
  std::vector<core::Member> Members = Known.vms();
  if (Members == LastMembers)
    return;
  LastMembers = std::move(Members);
  if (Notified)
    Notified(LastMembers);
}

core::Awaitable<void> DirectoryFeed::keepRegistered() {
  while (!Listed)
    co_await Env.Delays.sleepUntil(Env.Time.now() + internal::ListPoll);
  while (!Stopped) {
    const bool Registered = co_await registerOnce();
    if (!Registered)
      co_await backOff();
    co_await Env.Delays.sleepUntil(Env.Time.now() + internal::RegistrationPoll);
  }
}

// The registration is checked against what the watch reports, never against
// the belief that the lease still runs.
core::Awaitable<bool> DirectoryFeed::registerOnce() {
  const core::TimePoint Deadline = Env.Time.now() + Options.AnswerTimeout;
  if (Env.Time.now() < CheckAt)
    co_return true;
  const bool Registered = Known.registered(Self);
  if (Registered && (!Lease || Env.Time.now() < RenewAt))
    co_return true;
  if (Lease && Registered) {
    const auto Renewed = co_await Env.Store.renewLease(*Lease, Deadline);
    if (Renewed)
      RenewAt = Env.Time.now() + Options.LeaseRenewal;
    else if (Renewed.error() == core::Error::NotFound)
      Lease.reset();
    co_return static_cast<bool>(Renewed);
  }
  const auto Granted =
      co_await Env.Store.grantLease(Options.LeaseTtl, Deadline);
  if (!Granted)
    co_return false;
  Lease = *Granted;
  RenewAt = Env.Time.now() + Options.LeaseRenewal;
  const auto Written = co_await Env.Store.put(
      Env.Codec.vmKey(Self.Id), Env.Codec.encode(Self), *Granted, Deadline);
  core::LogLine(core::LogLevel::Info, "vm.registered")
      .field("lease", *Granted)
      .field("result", Written ? "ok" : Written.error().message());
  if (Written)
    CheckAt = Env.Time.now() + internal::RegistrationSettles;
  co_return static_cast<bool>(Written);
}

} // namespace jujubecart::store
