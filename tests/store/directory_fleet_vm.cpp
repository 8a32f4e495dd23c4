#include "directory_fleet.hpp"

#include <jujubecart/core/hash.hpp>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace jujubecart::tests {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

// A watch in the simulation notices a change within this time.
constexpr auto WatchPoll = 10ms;
// The client gives up a watch this long after it should have ended.
constexpr auto WatchMargin = 500ms;
constexpr std::uint64_t CurrentReadPrice = 10;

} // namespace

std::string vmName(std::size_t Number) {
  return "vm" + std::to_string(1000 + Number);
}

void FleetStore::write(const std::string &Key, std::string Value) {
  const core::StoredEntry Entry{
      .Key = Key, .Value = std::move(Value), .Changed = ++AsOf};
  Items[Key] = Entry;
  History.push_back(Entry);
  WrittenAt.push_back(Now());
}

void FleetStore::erase(const std::string &Key) {
  Items.erase(Key);
  History.push_back({.Key = Key, .Value = {}, .Changed = ++AsOf});
  WrittenAt.push_back(Now());
}

core::Revision FleetStore::watchableRevision() const {
  core::Revision Result = 0;
  for (std::size_t At = 0; At < History.size(); ++At)
    if (Now() - WrittenAt[At] >= WatchLag)
      Result = History[At].Changed;
  return Result;
}

void FleetStore::restore() {
  const std::uint64_t Era = core::eraOf(AsOf) + 1;
  Items = Copy.Entries;
  for (auto &[Key, Entry] : Items)
    Entry.Changed = core::makeRevision(Era, core::withoutEra(Entry.Changed));
  AsOf = core::makeRevision(Era, Copy.Number);
  OldestRevision = AsOf;
  History.clear();
}

core::EntryList FleetStore::changesAfter(core::Revision After) const {
  const core::Revision Last = watchableRevision();
  core::EntryList Result{.Entries = {}, .AsOf = std::max(After, Last)};
  for (const core::StoredEntry &Entry : History)
    if (Entry.Changed > After && Entry.Changed <= Last)
      Result.Entries.push_back(Entry);
  return Result;
}

core::EntryList FleetStore::list() const {
  core::EntryList Result{.Entries = {}, .AsOf = AsOf};
  for (const auto &[Key, Entry] : Items)
    Result.Entries.push_back(Entry);
  return Result;
}

FleetVm::FleetVm(DirectoryFleet &Fleet, std::size_t Number)
    : Fleet(Fleet), Number(Number), PathSince(Fleet.Run.now()),
      FreezeStart(PathSince), FreezeEnd(PathSince), Trusted(Fleet.size(), true),
      UptimeOffset(std::chrono::hours(Number * 7 % 100)),
      Feed(
          {.Store = *this,
           .Codec = Codec,
           .Table = Table,
           .Time = *this,
           .Sleeper = *this,
           .Random = [&Fleet] { return Fleet.Run.random(); },
           .ReaderRank = [this] { return rank(); },
           .Alone =
               [this] {
                 return std::count(Trusted.begin(), Trusted.end(), true) <= 1;
               },
           .LostVms = [] { return std::vector<std::string>(); },
           .Broadcast =
               [this](const core::EntryChanges &Changes, core::TimePoint ReadAt,
                      std::optional<std::chrono::milliseconds> Until) {
                 ++Broadcasts;
                 this->Fleet.broadcast(this->Number, Changes,
                                       this->Fleet.Run.now() - (now() - ReadAt),
                                       Until);
               },
           .Freshness = &Freshness},
          {.Id = vmName(Number), .Address = "1.2.3.4:5"}, {}, {}) {
  asio::co_spawn(Fleet.Run.context(), Feed.run(), asio::detached);
}

void FleetVm::freeze(std::chrono::milliseconds Duration) {
  const core::TimePoint Now = Fleet.Run.now();
  if (Now < FreezeEnd)
    return;
  EarlierFreezes += FreezeEnd - FreezeStart;
  FreezeStart = Now;
  FreezeEnd = Now + Duration;
}

void FleetVm::setPath(StorePath NewPath) {
  if (NewPath == Path)
    return;
  Path = NewPath;
  PathSince = Fleet.Run.now();
}

std::uint64_t FleetVm::configVersion() const {
  const auto &Routing = Table.current()->routing();
  return Routing ? Routing->version() : 0;
}

bool FleetVm::knowsServer(const std::string &Id) const {
  const core::ServiceConfig *Service = Table.current()->find("tags");
  return Service != nullptr &&
         std::any_of(Service->Servers.begin(), Service->Servers.end(),
                     [&](const core::BackendServer &Server) {
                       return Server.Id == Id;
                     });
}

bool FleetVm::usesServer(const std::string &Id) const {
  const core::ServiceConfig *Service = Table.current()->find("tags");
  return Service != nullptr &&
         std::any_of(Service->Servers.begin(), Service->Servers.end(),
                     [&](const core::BackendServer &Server) {
                       return Server.Id == Id &&
                              Server.State == core::ServerState::Active;
                     });
}

core::TimePoint FleetVm::undisturbedSince() const {
  if (Path != StorePath::Open || Fleet.Run.now() < FreezeEnd)
    return core::TimePoint::max();
  return std::max(PathSince, FreezeEnd);
}

core::Awaitable<void> FleetVm::deliver(core::ReportedChanges Message,
                                       std::vector<std::uint64_t> Relays,
                                       core::TimePoint At) {
  co_await Fleet.Run.sleepUntil(At);
  co_await whileFrozen();
  if (std::find(Relays.begin(), Relays.end(), core::hash64(vmName(Number))) !=
      Relays.end())
    Fleet.sendToOwnPart(
        Number, {Message.Changes, Message.ReadAt, Message.CompleteUntil},
        Relays);
  Message.ReadAt = now() - (Fleet.Run.now() - Message.ReadAt);
  Feed.applyFromPeer(Message);
}

std::vector<std::string> FleetVm::trusted() const {
  std::vector<std::string> Result;
  for (std::size_t Other = 0; Other < Trusted.size(); ++Other)
    if (Trusted[Other])
      Result.push_back(vmName(Other));
  return Result;
}

std::size_t FleetVm::rank() const {
  std::size_t Result = 0;
  for (std::size_t Other = 0; Other < Number; ++Other)
    Result += Trusted[Other];
  return Result;
}

core::TimePoint::duration
FleetVm::frozenTime(core::TimePoint Instant) const noexcept {
  return EarlierFreezes +
         (std::clamp(Instant, FreezeStart, FreezeEnd) - FreezeStart);
}

core::TimePoint FleetVm::now() const noexcept {
  return Fleet.Run.now() - frozenTime(Fleet.Run.now());
}

std::chrono::milliseconds FleetVm::uptime() const noexcept {
  return UptimeOffset + std::chrono::duration_cast<std::chrono::milliseconds>(
                            Fleet.Run.now().time_since_epoch());
}

bool FleetVm::admitsKeys() const {
  const auto CompleteUntil = Freshness.completeUntil();
  return Fleet.Run.now() >= FreezeEnd && CompleteUntil &&
         uptime() - *CompleteUntil <= Fleet.MaxKeyAge;
}

core::WallTime FleetVm::wallNow() const noexcept {
  return Fleet.Run.clock().wallNow();
}

core::Awaitable<void> FleetVm::whileFrozen() {
  while (Fleet.Run.now() < std::max(FreezeEnd, BusyUntil))
    co_await Fleet.Run.sleepUntil(std::max(FreezeEnd, BusyUntil));
}

core::TimePoint FleetVm::prepareMessage() {
  BusyUntil = std::max(BusyUntil, Fleet.Run.now()) + SendTime;
  return BusyUntil;
}

core::Awaitable<void> FleetVm::sleepUntil(core::TimePoint Until) {
  co_await whileFrozen();
  while (now() < Until) {
    co_await Fleet.Run.sleepUntil(Fleet.Run.now() + (Until - now()));
    co_await whileFrozen();
  }
}

core::Awaitable<std::error_code>
FleetVm::awaitAnswer(core::TimePoint Deadline) {
  co_await sleepUntil(now() + Fleet.StoreLatency);
  if (Path == StorePath::Rejecting)
    co_return core::make_error_code(core::Error::Unavailable);
  if (Path == StorePath::Silent) {
    co_await sleepUntil(Deadline);
    co_return core::make_error_code(core::Error::DeadlineExceeded);
  }
  co_return std::error_code();
}

core::Awaitable<core::Result<core::EntryList>>
FleetVm::list(core::ReadMode Mode, core::TimePoint Deadline) {
  ++Calls;
  CallPrice += Mode == core::ReadMode::Stale ? 1 : CurrentReadPrice;
  const std::error_code Failed = co_await awaitAnswer(Deadline);
  if (Failed)
    co_return Failed;
  co_return Fleet.Store.list();
}

core::Awaitable<core::Result<core::StoredEntry>>
FleetVm::get(std::string Key, core::ReadMode Mode, core::TimePoint Deadline) {
  ++Calls;
  CallPrice += Mode == core::ReadMode::Stale ? 1 : CurrentReadPrice;
  const std::error_code Failed = co_await awaitAnswer(Deadline);
  if (Failed)
    co_return Failed;
  const auto Found = Fleet.Store.Items.find(Key);
  if (Found == Fleet.Store.Items.end())
    co_return core::make_error_code(core::Error::NotFound);
  co_return Found->second;
}

core::Awaitable<core::Result<core::EntryList>>
FleetVm::waitForChanges(core::Revision After, core::TimePoint Until) {
  ++Calls;
  CallPrice += CurrentReadPrice;
  const std::error_code Refused = co_await awaitAnswer(Until + WatchMargin);
  if (Refused)
    co_return Refused;
  if (Fleet.AnswersWhileFrozen) {
    const core::TimePoint End = Fleet.Run.now() + (Until - now());
    while (Fleet.Store.watchableRevision() <= After && Fleet.Run.now() < End &&
           Path != StorePath::Rejecting)
      co_await Fleet.Run.sleepUntil(std::min(End, Fleet.Run.now() + WatchPoll));
  }
  while (!Fleet.AnswersWhileFrozen && !Fleet.StoreEndsWatchesEarly &&
         Fleet.Store.watchableRevision() <= After && now() < Until &&
         Path != StorePath::Rejecting)
    co_await sleepUntil(std::min(Until, now() + WatchPoll));
  if (After < Fleet.Store.OldestRevision)
    co_return core::make_error_code(core::Error::HistoryLost);
  core::EntryList Result = Fleet.Store.changesAfter(After);
  if (Fleet.StoreEndsWatchesEarly && Result.Entries.empty())
    co_await sleepUntil(Until);
  const std::error_code Lost = co_await awaitAnswer(Until + WatchMargin);
  if (Lost)
    co_return Lost;
  co_return Result;
}

core::Awaitable<core::Result<void>>
FleetVm::put(std::string Key, std::string Value, core::TimePoint Deadline) {
  const std::error_code Failed = co_await awaitAnswer(Deadline);
  if (Failed)
    co_return Failed;
  Fleet.Store.write(Key, std::move(Value));
  co_return core::Result<void>();
}

core::Awaitable<core::Result<void>>
FleetVm::remove(std::vector<core::EntryVersion> /*Keys*/,
                core::TimePoint Deadline) {
  const std::error_code Failed = co_await awaitAnswer(Deadline);
  if (Failed)
    co_return Failed;
  co_return core::Result<void>();
}

} // namespace jujubecart::tests
