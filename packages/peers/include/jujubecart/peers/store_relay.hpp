#ifndef JUJUBECART_PEERS_STORE_RELAY_HPP
#define JUJUBECART_PEERS_STORE_RELAY_HPP

#include <jujubecart/core/entry_store.hpp>
#include <jujubecart/core/member.hpp>
#include <jujubecart/decision/relay_tree.hpp>
#include <jujubecart/peers/link_table.hpp>
#include <jujubecart/peers/peer_clock.hpp>
#include <jujubecart/peers/transit_delay.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace jujubecart::peers {

/// @brief Sends what one VM reads from the store to all others, so that they
/// need not read it. In a large fleet the VM sends it to relays, each of which
/// passes it on to its part of the others. Thread-safe.
class StoreRelay : public LinkListener {
public:
  using ChangeHandler = std::function<void(const core::ReportedChanges &)>;

  /// @param Members Must name this VM from the start.
  StoreRelay(LinkTable &Links, const core::MemberSource &Members,
             const core::Clock &Time);
  StoreRelay(const StoreRelay &) = delete;
  StoreRelay &operator=(const StoreRelay &) = delete;

  /// @brief Sets the handler of changes that other VMs report; call before
  /// links open.
  void setChangeHandler(ChangeHandler NewHandler) {
    Handler = std::move(NewHandler);
  }

  /// @brief Sends changes read from the store on their way to all other VMs,
  /// with earlier ones that a receiver has missed. Without entries, tells them
  /// that nothing has changed up to List.AsOf.
  /// @param ReadAt When a VM got them from the store.
  /// @param CompleteUntil As in core::ReportedChanges, on the clock of this VM.
  void broadcast(
      const core::EntryChanges &Changes, core::TimePoint ReadAt,
      std::optional<std::chrono::milliseconds> CompleteUntil = std::nullopt);

  /// @brief Rank of this VM among the members that may read the store on
  /// behalf of all; the VM with rank 0 is the regular reader.
  [[nodiscard]] std::size_t readerRank();

  /// @brief Whether this VM knows no other live VM.
  [[nodiscard]] bool alone();

  void onOpen(const LinkPtr &Source) override;
  void onFrame(const LinkPtr &Source, const Frame &Item) override;
  void onClose(const LinkPtr &Source) override;

private:
  /// @brief What a frame states beside the changes.
  struct Envelope {
    core::TimePoint ReadAt;
    /// On Clock::uptime() of this VM.
    std::optional<std::chrono::milliseconds> CompleteUntil;
    std::vector<std::uint64_t> Relays;
    bool PassOn = false;
  };
  /// @brief VMs to which this VM passes changes on as one of some relays.
  struct Part {
    std::uint64_t MemberVersion = 0;
    std::vector<std::uint64_t> Relays;
    std::vector<core::Member> Receivers;
  };
  /// @brief Numbers of receivers for the log.
  struct Receivers {
    std::size_t Sent = 0;
    std::size_t WithoutLink = 0;
  };

  /// @brief Adds changes to those that are kept for VMs that missed them.
  void remember(const core::EntryChanges &Changes);
  /// @brief Sends a VM the changes that it was not sent yet; if there is no
  /// link to it, as soon as one opens.
  void send(const core::Member &Receiver, const Envelope &Item,
            Receivers &Count);
  [[nodiscard]] bool send(const LinkPtr &Open, const Envelope &Item);
  void sendToAll(const Envelope &Item, Receivers &Count);
  void sendToRelays(const decision::RelayTree &Tree, const Envelope &Item,
                    Receivers &Count);
  /// @brief Leaves it to a relay to send changes to all.
  void handOver(const decision::RelayTree &Tree, Envelope Item,
                Receivers &Count);
  /// @brief Sends to the VMs for which this VM is the relay.
  void sendToOwnPart(const Envelope &Item, Receivers &Count);
  [[nodiscard]] std::shared_ptr<const Part>
  ownPart(const std::vector<std::uint64_t> &Relays);
  /// @brief Hashes of the relays except those to which no link opens.
  [[nodiscard]] std::vector<std::uint64_t>
  usableRelays(const decision::RelayTree &Tree);
  [[nodiscard]] decision::RelayTree currentTree();
  /// @brief Converts an instant that a peer states to this VM's clock.
  [[nodiscard]] core::TimePoint receivedInstant(const LinkPtr &Source,
                                                std::uint64_t SentAtMs);
  /// @brief Records what a peer states of its clock.
  void recordClock(const LinkPtr &Source, std::uint64_t SentAtMs);
  /// @brief Ranks the members again if they have changed; call with Mutex held.
  void updateRank();

  LinkTable &Links;
  const core::MemberSource &Members;
  const core::Clock &Time;
  const std::string SelfId;
  const std::uint64_t SelfHash;
  ChangeHandler Handler;
  std::mutex Mutex;
  /// By link number.
  std::unordered_map<std::uint64_t, TransitDelay> Delays;
  /// By link number.
  std::unordered_map<std::uint64_t, PeerClock> Clocks;
  /// What is sent when a link to a VM opens, by VM id.
  std::unordered_map<std::string, Envelope> AwaitingLink;
  /// The part of this VM that was computed last.
  std::shared_ptr<const Part> LastPart;
  /// Since when there has been no link to a relay, by VM id.
  std::unordered_map<std::string, core::TimePoint> WithoutLinkSince;
  /// Revision up to which all changes were sent, by link number.
  std::unordered_map<std::uint64_t, core::Revision> SentRevisions;
  /// Recent changes, kept for peers that missed a broadcast.
  core::EntryChanges RecentChanges;
  /// Parts of them that were derived from lists, in the order of their ends.
  std::vector<core::ListedRange> ListedRanges;
  /// Member version for which Rank and LiveMembers were computed.
  std::optional<std::uint64_t> RankedMemberVersion;
  std::size_t Rank = 0;
  decision::RelayTree Tree;
  /// Members that may read, with this VM.
  std::size_t LiveMembers = 0;
};

} // namespace jujubecart::peers

#endif
