#include <jujubecart/store/directory_feed.hpp>

#include "directory_entries.hpp"

#include <jujubecart/core/log.hpp>
#include <jujubecart/store/directory_snapshot.hpp>

#include <algorithm>
#include <utility>

namespace jujubecart::store {

namespace internal {

// How often the registration is checked.
constexpr std::chrono::milliseconds RegistrationPoll{1000};
// How often keepRegistered() checks for the first list.
constexpr std::chrono::milliseconds ListPoll{10};
// A watch reports a write within its batch delay and one response time. Until
// then a missing registration does not mean that it was lost.
constexpr std::chrono::milliseconds RegistrationDelay{5000};

} // namespace internal

// The reader lists the entries instead of keeping their values, which no VM
// needs after it has decoded them.
core::Awaitable<void> DirectoryFeed::writeSnapshot() {
  const core::TimePoint Now = Env.Time.now();
  if (Env.ReaderRank() != 0 || !LastSnapshot) {
    LastSnapshot = Now;
    co_return;
  }
  const core::TimePoint Due =
      *LastSnapshot + (SnapshotOutdated ? Options.SnapshotInterval
                                        : Options.MaxSnapshotInterval);
  if (Now < Due)
    co_return;
  LastSnapshot = Now;
  SnapshotOutdated = false;
  const auto All =
      co_await Env.Store.list(core::ReadMode::Stale, Now + Options.CallTimeout);
  if (!All)
    co_return;
  std::string Value = encodeSnapshot(internal::withoutOther(*All, Env.Codec));
  const std::size_t Bytes = Value.size();
  const auto Written =
      co_await Env.Store.put(Env.Codec.snapshotKey(), std::move(Value),
                             Env.Time.now() + Options.CallTimeout);
  core::LogLine(core::LogLevel::Info, "directory.snapshot_written")
      .field("revision", All->AsOf)
      .field("bytes", Bytes)
      .field("result", Written ? "ok" : Written.error().message());
}

// Registrations do not expire: a lease would cost each VM a call at its start
// and further ones to renew it. A VM that was lost and has changed its
// registration since is kept, because the store then removes none.
core::Awaitable<void> DirectoryFeed::removeLostVms() {
  if (Env.ReaderRank() != 0 || Env.Time.now() < NextCleanup)
    co_return;
  NextCleanup = Env.Time.now() + Options.CleanupInterval;
  std::vector<core::EntryVersion> Lost = Entries.vmEntries(Env.LostVms());
  if (Lost.empty())
    co_return;
  Lost.resize(std::min(Lost.size(), core::EntryStore::MaxWrites));
  const std::size_t Count = Lost.size();
  const std::string First = Lost.front().Key;
  const auto Removed = co_await Env.Store.remove(
      std::move(Lost), Env.Time.now() + Options.CallTimeout);
  core::LogLine(core::LogLevel::Info, "vm.registrations_removed")
      .field("count", Count)
      .field("first", First)
      .field("result", Removed ? "ok" : Removed.error().message());
}

core::Awaitable<void> DirectoryFeed::keepRegistered() {
  while (!Listed)
    co_await Env.Sleeper.sleepUntil(Env.Time.now() + internal::ListPoll);
  while (!Stopped) {
    const core::TimePoint Started = Env.Time.now();
    const bool Registered = co_await ensureRegistered();
    if (!Registered)
      co_await backOff(Started);
    co_await Env.Sleeper.sleepUntil(Env.Time.now() +
                                    internal::RegistrationPoll);
  }
}

// Whether this VM is registered is decided by what the watch reports, since the
// reader may have removed the registration of a VM that was cut off.
core::Awaitable<bool> DirectoryFeed::ensureRegistered() {
  if (Entries.isRegistered(Self)) {
    WasRegistered = true;
    NextCheck = core::TimePoint::min();
    co_return true;
  }
  if (Env.Time.now() < NextCheck)
    co_return true;
  // A store that comes back from a copy lacks the registrations of many VMs at
  // once.
  if (WasRegistered) {
    WasRegistered = false;
    co_await Env.Sleeper.sleepUntil(Env.Time.now() +
                                    randomUpTo(Options.MaxRegistrationDelay));
    if (Entries.isRegistered(Self))
      co_return true;
  }
  const auto Written =
      co_await Env.Store.put(Env.Codec.vmKey(Self.Id), Env.Codec.encodeVm(Self),
                             Env.Time.now() + Options.CallTimeout);
  core::LogLine(core::LogLevel::Info, "vm.registered")
      .field("result", Written ? "ok" : Written.error().message());
  if (Written)
    NextCheck = Env.Time.now() + internal::RegistrationDelay;
  co_return static_cast<bool>(Written);
}

} // namespace jujubecart::store
