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
constexpr auto CheckInterval = 20ms;
constexpr auto MinLinkDelay = 1ms;
constexpr std::uint64_t LinkJitterMs = 3;
// Time for which a VM must have had an undisturbed path to the store before its
// lag counts.
constexpr auto SettlingTime = 3s;
constexpr std::uint64_t CurrentReadPrice = 10;
// 1,000 Mbit/s.
constexpr std::size_t DefaultBytesPerMs = 125000;
// Frame and TCP headers of a message, and keys and revisions of an entry.
constexpr std::size_t MessageOverhead = 100;
constexpr std::size_t EntryOverhead = 60;

std::size_t vmNumber(const std::string &Name) {
  return std::stoul(Name.substr(2)) - 1000;
}

bool contains(const std::vector<std::uint64_t> &Relays, std::uint64_t Hash) {
  return std::find(Relays.begin(), Relays.end(), Hash) != Relays.end();
}

std::size_t messageBytes(const core::EntryChanges &Changes) {
  std::size_t Bytes = MessageOverhead;
  for (const core::StoredEntry &Entry : Changes.List.Entries)
    Bytes += EntryOverhead + (Entry.Value ? Entry.Value->size() : 0);
  return Bytes;
}

std::string vmName(std::size_t Number) {
  return "vm" + std::to_string(1000 + Number);
}

} // namespace

void FleetStore::write(const std::string &Key, std::string Value) {
  const core::StoredEntry Entry{
      .Key = Key, .Value = std::move(Value), .Changed = ++AsOf};
  Items[Key] = Entry;
  History.push_back(Entry);
}

void FleetStore::erase(const std::string &Key) {
  Items.erase(Key);
  History.push_back({.Key = Key, .Value = {}, .Changed = ++AsOf});
}

core::EntryList FleetStore::changesAfter(core::Revision After) const {
  core::EntryList Result{.Entries = {}, .AsOf = AsOf};
  for (const core::StoredEntry &Entry : History)
    if (Entry.Changed > After)
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
      Feed({.Store = *this,
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
                [this](const core::EntryChanges &Changes,
                       core::TimePoint ReadAt) {
                  ++Broadcasts;
                  this->Fleet.broadcast(this->Number, Changes,
                                        this->Fleet.Run.now() -
                                            (now() - ReadAt));
                }},
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
  if (contains(Relays, core::hash64(vmName(Number))))
    Fleet.sendToOwnPart(Number, {Message.Changes, Message.ReadAt}, Relays);
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
  while (Fleet.Store.AsOf <= After && now() < Until &&
         Path != StorePath::Rejecting)
    co_await sleepUntil(std::min(Until, now() + WatchPoll));
  if (After < Fleet.Store.OldestRevision)
    co_return core::make_error_code(core::Error::HistoryLost);
  core::EntryList Result = Fleet.Store.changesAfter(After);
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

DirectoryFleet::DirectoryFleet(std::size_t Size, std::uint64_t Seed)
    : Links(Size, std::vector<bool>(Size, true)),
      LinkRates(Size, DefaultBytesPerMs), SentBytes(Size), LinkFreeAt(Size),
      LastArrival(Size, std::vector<core::TimePoint>(Size)), Run(Seed) {
  changeConfig();
  for (std::size_t Number = 0; Number < Size; ++Number)
    Vms.push_back(std::make_unique<FleetVm>(*this, Number));
}

void DirectoryFleet::changeConfig(std::size_t Bytes) {
  Acknowledged.push_back(Run.now());
  std::string Value = std::to_string(Acknowledged.size());
  Value.resize(std::max(Bytes, Value.size()), ' ');
  Store.write("config", std::move(Value));
}

void DirectoryFleet::addServer(const std::string &Id) {
  Store.write("s/" + Id, "active");
  Removed.erase(Id);
}

void DirectoryFleet::removeServer(const std::string &Id) {
  Store.erase("s/" + Id);
  Removed[Id] = Run.now();
}

void DirectoryFleet::lose(std::size_t Number) {
  Vms[Number]->freeze(std::chrono::hours(24));
  for (const auto &Vm : Vms)
    Vm->setTrust(Number, false);
}

void DirectoryFleet::transmit(std::size_t Sender, std::size_t Receiver,
                              const core::ReportedChanges &Message,
                              const std::vector<std::uint64_t> &Relays) {
  if (Receiver == Sender)
    return;
  const std::size_t Bytes = messageBytes(Message.Changes);
  SentBytes[Sender] += Bytes;
  core::TimePoint &FreeAt = LinkFreeAt[Sender];
  FreeAt = std::max(FreeAt, Vms[Sender]->prepareMessage()) +
           std::chrono::microseconds(1000 * Bytes / LinkRates[Sender]);
  if (!Links[Sender][Receiver])
    return;
  core::TimePoint &Last = LastArrival[Sender][Receiver];
  Last = std::max(Last, FreeAt + MinLinkDelay +
                            std::chrono::milliseconds(Run.below(LinkJitterMs)));
  asio::co_spawn(Run.context(), Vms[Receiver]->deliver(Message, Relays, Last),
                 asio::detached);
}

void DirectoryFleet::sendToOwnPart(std::size_t Relay,
                                   const core::ReportedChanges &Message,
                                   const std::vector<std::uint64_t> &Relays) {
  const std::uint64_t Own = core::hash64(vmName(Relay));
  for (std::size_t Vm = 0; Vm < size(); ++Vm)
    if (!contains(Relays, core::hash64(vmName(Vm))) &&
        decision::relayOf(vmName(Vm), Relays) == Own)
      transmit(Relay, Vm, Message, {});
}

// As StoreRelay does, but links are open from the start.
void DirectoryFleet::broadcast(std::size_t Sender,
                               const core::EntryChanges &Changes,
                               core::TimePoint ReadAt) {
  constexpr std::size_t HandoverReceivers = 2;
  const std::vector<std::string> Ranked = Vms[Sender]->trusted();
  const decision::RelayTree Tree(Ranked, Ranked.size());
  core::ReportedChanges Message{.Changes = Changes, .ReadAt = ReadAt};
  std::vector<std::uint64_t> Relays;
  for (const std::string &Relay : Tree.relays())
    Relays.push_back(core::hash64(Relay));
  if (Relays.empty()) {
    for (std::size_t Receiver = 0; Receiver < size(); ++Receiver)
      transmit(Sender, Receiver, Message, {});
  } else if (Tree.isRelay(vmName(Sender))) {
    for (const std::string &Relay : Tree.relays())
      transmit(Sender, vmNumber(Relay), Message, Relays);
    sendToOwnPart(Sender, Message, Relays);
  } else {
    Message.PassOn = true;
    for (std::size_t At = 0; At < HandoverReceivers; ++At)
      transmit(Sender, vmNumber(Tree.relays()[At]), Message, {});
  }
}

void DirectoryFleet::checkVersions() {
  const core::TimePoint Now = Run.now();
  for (std::size_t Number = 0; Number < Vms.size(); ++Number) {
    const core::TimePoint Since = Vms[Number]->undisturbedSince();
    const std::uint64_t Version = Vms[Number]->configVersion();
    if (Since == core::TimePoint::max() || Now - Since < SettlingTime ||
        Version >= Acknowledged.size())
      continue;
    // The oldest version that the VM does not have yet.
    const auto Lag = std::chrono::duration_cast<std::chrono::milliseconds>(
        Now - Acknowledged[Version]);
    if (Lag > WorstLag) {
      WorstLag = Lag;
      WorstVm = Number;
    }
  }
}

void DirectoryFleet::checkRemovals() {
  const core::TimePoint Now = Run.now();
  for (const auto &Vm : Vms) {
    const core::TimePoint Since = Vm->undisturbedSince();
    if (Since == core::TimePoint::max() || Now - Since < SettlingTime)
      continue;
    for (const auto &[Id, At] : Removed)
      if (Vm->knowsServer(Id))
        WorstRemovalLag = std::max(
            WorstRemovalLag,
            std::chrono::duration_cast<std::chrono::milliseconds>(Now - At));
  }
}

void DirectoryFleet::run(std::chrono::milliseconds Duration) {
  const core::TimePoint End = Run.now() + Duration;
  while (Run.now() < End) {
    Run.runUntil(std::min(End, Run.now() + CheckInterval));
    checkVersions();
    checkRemovals();
  }
}

std::uint64_t DirectoryFleet::mostSentBytes() const {
  return *std::max_element(SentBytes.begin(), SentBytes.end());
}

std::uint64_t DirectoryFleet::callPrice() const {
  std::uint64_t Sum = 0;
  for (const auto &Vm : Vms)
    Sum += Vm->CallPrice;
  return Sum;
}

std::uint64_t DirectoryFleet::calls() const {
  std::uint64_t Sum = 0;
  for (const auto &Vm : Vms)
    Sum += Vm->Calls;
  return Sum;
}

std::uint64_t DirectoryFleet::broadcasts() const {
  std::uint64_t Sum = 0;
  for (const auto &Vm : Vms)
    Sum += Vm->Broadcasts;
  return Sum;
}

} // namespace jujubecart::tests
