#include "directory_fleet.hpp"

#include <jujubecart/core/hash.hpp>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace jujubecart::tests {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr auto CheckInterval = 20ms;
constexpr auto MinLinkDelay = 1ms;
constexpr std::uint64_t LinkJitterMs = 3;
// Time for which a VM must have had an undisturbed path to the store before its
// lag counts.
constexpr auto SettlingTime = 3s;
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

} // namespace

DirectoryFleet::DirectoryFleet(std::size_t Size, std::uint64_t Seed)
    : Links(Size, std::vector<bool>(Size, true)),
      LinkRates(Size, DefaultBytesPerMs), SentBytes(Size), LinkFreeAt(Size),
      LastArrival(Size, std::vector<core::TimePoint>(Size)), Run(Seed) {
  Store.Now = [this] { return Run.now(); };
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

void DirectoryFleet::reopenLink(std::size_t Sender, std::size_t Receiver,
                                std::chrono::milliseconds HelloDelay) {
  peers::PeerClock &Clock = Vms[Sender]->Clocks[Receiver];
  Clock = {};
  Clock.record(Vms[Receiver]->uptime() - HelloDelay, Vms[Sender]->uptime());
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
  core::ReportedChanges Sent = Message;
  if (Sent.CompleteUntil) {
    if (!Vms[Sender]->Clocks.contains(Receiver))
      reopenLink(Sender, Receiver,
                 std::chrono::milliseconds((7 * Sender + 13 * Receiver) % 50));
    Sent.CompleteUntil = Vms[Sender]->Clocks[Receiver].toPeer(
        *Sent.CompleteUntil, Vms[Sender]->uptime());
  }
  core::TimePoint &Last = LastArrival[Sender][Receiver];
  Last = std::max(Last, FreeAt + MinLinkDelay +
                            std::chrono::milliseconds(Run.below(LinkJitterMs)));
  asio::co_spawn(Run.context(), Vms[Receiver]->deliver(Sent, Relays, Last),
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
void DirectoryFleet::broadcast(
    std::size_t Sender, const core::EntryChanges &Changes,
    core::TimePoint ReadAt,
    std::optional<std::chrono::milliseconds> CompleteUntil) {
  constexpr std::size_t HandoverReceivers = 2;
  const std::vector<std::string> Ranked = Vms[Sender]->trusted();
  const decision::RelayTree Tree(Ranked, Ranked.size());
  core::ReportedChanges Message{
      .Changes = Changes, .ReadAt = ReadAt, .CompleteUntil = CompleteUntil};
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

// Each version of the configuration takes an API key away that the one before
// had, so that a VM with an older version lets requests with a removed key in.
void DirectoryFleet::checkRevocations() {
  const core::TimePoint Now = Run.now();
  for (const auto &Vm : Vms) {
    const bool Admits = Vm->admitsKeys();
    const core::TimePoint Since = Vm->undisturbedSince();
    if (Since != core::TimePoint::max() && Now - Since >= SettlingTime)
      ++(Admits ? AdmittedSamples : RefusedSamples);
    const std::uint64_t Version = Vm->configVersion();
    if (Admits && Version < Acknowledged.size())
      WorstRevocation =
          std::max(WorstRevocation,
                   std::chrono::duration_cast<std::chrono::milliseconds>(
                       Now - Acknowledged[Version]));
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
    checkRevocations();
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
