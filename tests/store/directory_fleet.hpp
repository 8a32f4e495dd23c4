#ifndef JUJUBECART_TESTS_STORE_DIRECTORY_FLEET_HPP
#define JUJUBECART_TESTS_STORE_DIRECTORY_FLEET_HPP

#include "fakes/simulation.hpp"
#include "plain_codec.hpp"

#include <jujubecart/core/store_era.hpp>
#include <jujubecart/decision/relay_tree.hpp>
#include <jujubecart/peers/peer_clock.hpp>
#include <jujubecart/store/directory_feed.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jujubecart::tests {

/// @brief How the store answers the calls of one VM.
enum class StorePath : std::uint8_t {
  Open,
  /// Every call fails at once.
  Rejecting,
  /// No call is answered.
  Silent
};

/// @brief Entries and history of the simulated store that all VMs share.
struct FleetStore {
  /// @brief Writes an entry, which counts as acknowledged at once.
  void write(const std::string &Key, std::string Value);

  /// @brief Deletes an entry, which counts as acknowledged at once.
  void erase(const std::string &Key);

  /// @brief Drops the history: older watches get HistoryLost.
  void dropHistory() noexcept { OldestRevision = AsOf; }

  /// @brief Revision of the last change that a watch shows.
  [[nodiscard]] core::Revision watchableRevision() const;
  /// @brief Keeps a copy of the entries.
  void copy() { Copy = {.Entries = Items, .Number = core::withoutEra(AsOf)}; }
  /// @brief Comes back from the copy: what was written since is lost and its
  /// revisions are given out again, in another era.
  void restore();

  [[nodiscard]] core::EntryList changesAfter(core::Revision After) const;
  [[nodiscard]] core::EntryList list() const;

  core::Revision AsOf = 0;
  /// Changes after this revision can be watched.
  core::Revision OldestRevision = 0;
  std::map<std::string, core::StoredEntry> Items;
  std::vector<core::StoredEntry> History;
  /// When each change of History was acknowledged.
  std::vector<core::TimePoint> WrittenAt;
  /// Watches show changes that are at least as old.
  std::chrono::milliseconds WatchLag{0};
  std::function<core::TimePoint()> Now;

private:
  struct {
    std::map<std::string, core::StoredEntry> Entries;
    std::uint64_t Number = 0;
  } Copy;
};

class DirectoryFleet;

/// @brief Id of a VM of the fleet.
[[nodiscard]] std::string vmName(std::size_t Number);

/// @brief One entry VM: its feed and its view of the time, the store and the
/// other VMs.
class FleetVm final : public core::EntryStore,
                      public core::Sleeper,
                      public core::Clock {
public:
  FleetVm(DirectoryFleet &Fleet, std::size_t Number);

  /// @brief Stops the process for a time, which its monotonic clock does not
  /// count.
  void freeze(std::chrono::milliseconds Duration);
  /// @brief Sets how long this VM is busy with each message that it sends.
  void setSendTime(std::chrono::microseconds Time) { SendTime = Time; }
  /// @brief Uses the processor for one message to send.
  /// @return When the message is ready.
  [[nodiscard]] core::TimePoint prepareMessage();
  /// @brief Changes the path to the store.
  void setPath(StorePath NewPath);
  /// @brief Makes this VM take another one for lost, or live again.
  void setTrust(std::size_t Other, bool Live) { Trusted[Other] = Live; }
  /// @brief Whether this VM runs and lets requests with an API key in that its
  /// callers send now.
  [[nodiscard]] bool admitsKeys() const;

  /// @brief Version of the configuration in force; 0 without one.
  [[nodiscard]] std::uint64_t configVersion() const;
  /// @brief Whether this VM may send requests to a server.
  [[nodiscard]] bool knowsServer(const std::string &Id) const;
  /// @brief Whether it is also active.
  [[nodiscard]] bool usesServer(const std::string &Id) const;
  /// @brief Instant since which this VM could read the store without a pause.
  [[nodiscard]] core::TimePoint undisturbedSince() const;
  /// @brief Receives a message: passes it on if this VM is one of its relays,
  /// and to the feed.
  /// @param Message With a ReadAt on the clock of the simulation.
  /// @param Relays Hashes of the relays of the message.
  /// @param At When it arrives, on the same clock.
  [[nodiscard]] core::Awaitable<void> deliver(core::ReportedChanges Message,
                                              std::vector<std::uint64_t> Relays,
                                              core::TimePoint At);
  /// @brief Ids of the VMs that this one takes for live, in the order of their
  /// ranks.
  [[nodiscard]] std::vector<std::string> trusted() const;

  [[nodiscard]] core::Awaitable<void>
  sleepUntil(core::TimePoint Until) override;
  [[nodiscard]] core::TimePoint now() const noexcept override;
  [[nodiscard]] core::WallTime wallNow() const noexcept override;
  /// @brief Differs from that of the other VMs by hours.
  [[nodiscard]] std::chrono::milliseconds uptime() const noexcept override;

  [[nodiscard]] core::Awaitable<core::Result<core::EntryList>>
  list(core::ReadMode Mode, core::TimePoint Deadline) override;
  [[nodiscard]] core::Awaitable<core::Result<core::StoredEntry>>
  get(std::string Key, core::ReadMode Mode, core::TimePoint Deadline) override;
  [[nodiscard]] core::Awaitable<core::Result<core::EntryList>>
  waitForChanges(core::Revision After, core::TimePoint Until) override;
  [[nodiscard]] core::Awaitable<core::Result<void>>
  put(std::string Key, std::string Value, core::TimePoint Deadline) override;
  [[nodiscard]] core::Awaitable<core::Result<void>>
  remove(std::vector<core::EntryVersion> Keys,
         core::TimePoint Deadline) override;

  /// Price of the calls to the store, in stale reads; a current read costs ten.
  std::uint64_t CallPrice = 0;
  std::uint64_t Calls = 0;
  std::uint64_t Broadcasts = 0;
  /// Clocks of the VMs to which this one sends, by their numbers.
  std::map<std::size_t, peers::PeerClock> Clocks;

private:
  [[nodiscard]] std::size_t rank() const;
  /// @brief Waits while the VM is frozen or busy.
  [[nodiscard]] core::Awaitable<void> whileFrozen();
  /// @brief Waits for the answer of the store.
  /// @return An error if there is none.
  [[nodiscard]] core::Awaitable<std::error_code>
  awaitAnswer(core::TimePoint Deadline);
  [[nodiscard]] core::TimePoint::duration
  frozenTime(core::TimePoint Instant) const noexcept;

  DirectoryFleet &Fleet;
  const std::size_t Number;
  StorePath Path = StorePath::Open;
  core::TimePoint PathSince;
  core::TimePoint FreezeStart;
  core::TimePoint FreezeEnd;
  core::TimePoint::duration EarlierFreezes{0};
  std::chrono::microseconds SendTime{0};
  core::TimePoint BusyUntil;
  std::vector<bool> Trusted;
  const std::chrono::milliseconds UptimeOffset;
  store::FreshnessRecord Freshness;
  core::ConfigTable Table;
  PlainCodec Codec;
  store::DirectoryFeed Feed;
};

/// @brief Entry VMs in simulated time that read one store and tell each other
/// what they read. Deterministic for a seed.
class DirectoryFleet {
public:
  DirectoryFleet(std::size_t Size, std::uint64_t Seed);

  /// @brief Runs for a time and compares the configuration of every VM with the
  /// acknowledged one at short intervals.
  void run(std::chrono::milliseconds Duration);

  /// @brief Writes the next version of the configuration.
  /// @param Bytes Size of the value, at least.
  void changeConfig(std::size_t Bytes = 0);

  /// @brief Registers a backend server, or removes its entry.
  void addServer(const std::string &Id);
  void removeServer(const std::string &Id);

  /// @brief Ends a VM for good; the others know that it is lost.
  void lose(std::size_t Number);

  /// @brief Sends changes from one VM to all others, through the relays of a
  /// large fleet, on links that are not cut.
  /// @param ReadAt When a VM got them from the store.
  void broadcast(std::size_t Sender, const core::EntryChanges &Changes,
                 core::TimePoint ReadAt,
                 std::optional<std::chrono::milliseconds> CompleteUntil);

  /// @brief Sends a message from a relay to the VMs that it serves.
  void sendToOwnPart(std::size_t Relay, const core::ReportedChanges &Message,
                     const std::vector<std::uint64_t> &Relays);

  /// @brief Sets whether the broadcasts of one VM to another are lost.
  void setLink(std::size_t Sender, std::size_t Receiver, bool Open) {
    Links[Sender][Receiver] = Open;
  }

  /// @brief Opens a new link from one VM to another.
  /// @param HelloDelay Time for which the receiver's first message was under
  /// way.
  void reopenLink(std::size_t Sender, std::size_t Receiver,
                  std::chrono::milliseconds HelloDelay);

  /// @brief Bytes sent by the VM that has sent the most.
  [[nodiscard]] std::uint64_t mostSentBytes() const;

  /// @brief Limits the rate at which a VM sends; what it sends then waits in
  /// the order in which it was sent.
  void setLinkRate(std::size_t Sender, std::size_t BytesPerMs) {
    LinkRates[Sender] = BytesPerMs;
  }

  [[nodiscard]] std::size_t size() const noexcept { return Links.size(); }
  [[nodiscard]] std::uint64_t callPrice() const;
  [[nodiscard]] std::uint64_t calls() const;
  [[nodiscard]] std::uint64_t broadcasts() const;

  FleetStore Store;
  std::vector<std::unique_ptr<FleetVm>> Vms;
  /// Longest time for which a VM that could read the store had an older
  /// version than an acknowledged one, and which VM it was.
  std::chrono::milliseconds WorstLag{0};
  std::size_t WorstVm = 0;
  /// Longest time for which a VM that could read the store still used a server
  /// whose entry had been removed.
  std::chrono::milliseconds WorstRemovalLag{0};
  /// Longest time after the removal of an API key at which a VM let a request
  /// in that was sent then, and the samples in which VMs that could read the
  /// store let requests in and refused them.
  std::chrono::milliseconds WorstRevocation{0};
  std::uint64_t AdmittedSamples = 0;
  std::uint64_t RefusedSamples = 0;
  /// Age up to which API keys count.
  std::chrono::milliseconds MaxKeyAge{3400};
  /// Whether the store answers a watch of a frozen VM, which gets the answer
  /// later. Otherwise the watch waits as well.
  bool AnswersWhileFrozen = false;
  /// Whether the store answers a watch without changes at once, with an answer
  /// that is under way until the wait should have ended.
  bool StoreEndsWatchesEarly = false;
  /// Time in which the store answers a call.
  std::chrono::milliseconds StoreLatency{4};

private:
  void transmit(std::size_t Sender, std::size_t Receiver,
                const core::ReportedChanges &Message,
                const std::vector<std::uint64_t> &Relays);
  void checkVersions();
  void checkRevocations();
  void checkRemovals();

  std::vector<std::vector<bool>> Links;
  /// Bytes that each VM sends in a millisecond, and when its link is free.
  std::vector<std::size_t> LinkRates;
  /// Bytes that each VM has sent.
  std::vector<std::uint64_t> SentBytes;
  std::vector<core::TimePoint> LinkFreeAt;
  /// Last arrival of a broadcast, by sender and receiver.
  std::vector<std::vector<core::TimePoint>> LastArrival;
  /// When each version was acknowledged; the first one has the number 1.
  std::vector<core::TimePoint> Acknowledged;
  /// When the entries of servers were removed, by server id.
  std::map<std::string, core::TimePoint> Removed;

public:
  // Declared last to be destroyed first: it owns the coroutines of the VMs.
  dev::Simulation Run;
};

} // namespace jujubecart::tests

#endif
