#ifndef JUJUBECART_PEERS_MEMBER_TABLE_HPP
#define JUJUBECART_PEERS_MEMBER_TABLE_HPP

#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/event_sink.hpp>
#include <jujubecart/core/member.hpp>
#include <jujubecart/decision/token_bucket.hpp>
#include <jujubecart/peers/message.hpp>
#include <jujubecart/peers/peer_options.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace jujubecart::peers {

/// @brief Membership table with failure detection: the entry VMs learned from
/// the platform's list, Hellos and gossip. Safe from any thread.
class MemberTable final : public core::MemberSource {
public:
  /// Buckets of the gossip digest; equal on all VMs of a fleet.
  static constexpr std::size_t BucketCount = 16;
  /// Unit of the ages in gossip messages.
  static constexpr std::chrono::milliseconds AgeUnit{100};

  /// @brief Creates a table that knows only this VM.
  MemberTable(const PeerOptions &Options, const core::Clock &Time,
              core::EventSink &Events);

  [[nodiscard]] core::Member self() const override;
  [[nodiscard]] std::vector<core::Member> members() const override;
  [[nodiscard]] std::uint64_t version() const noexcept override;

  /// @brief Replaces the platform's list of VMs. The list may be out of date:
  /// a VM that is listed with a new incarnation is a member until a third of
  /// SuspectAfter has passed without a frame of it, one without an incarnation
  /// is only contacted. VMs that were never confirmed and are no longer listed
  /// are removed.
  void update(const std::vector<core::Member> &Listed);

  /// @brief Ids of listed VMs that have been silent for longer than
  /// RemoveAfter, by twice that time. Empty if not more than half of the listed
  /// VMs are reachable, since this VM may then be the one that is cut off.
  [[nodiscard]] std::vector<std::string> lostVms() const;

  /// @brief Sets the `IP:port` that other VMs connect to; needed when the
  /// configured port is 0 and the system chose one.
  void setAddress(std::string Address);

  /// @brief Marks this VM as leaving.
  void leave();

  /// @brief Records that a frame of a VM arrived; ignored if the incarnation
  /// is not the one in the table.
  void recordFrame(const std::string &Vm, std::uint64_t Incarnation);

  /// @brief Adds or updates the sender of a Hello.
  void recordHello(const Hello &PeerHello);

  /// @brief Returns a gossip message with one hash per bucket and the age of
  /// every entry; it contains no entries.
  [[nodiscard]] GossipMessage digest() const;

  /// @brief Merges the entries and ages of a gossip message.
  /// @return Entries of this table from the buckets whose hash differs; empty
  /// if the message has no digest or this VM has just resumed from a pause.
  [[nodiscard]] std::vector<MemberEntry> merge(const GossipMessage &Remote);

  /// @brief Marks silent VMs as suspect and removes them later; call at least
  /// every 250 ms. A gap of more than 1 s counts as a pause of this process.
  /// @return Ids of the VMs that this call marked or removed.
  std::vector<std::string> tick();

  /// @brief Selects random VMs to gossip with: reachable ones, filled up with
  /// unreachable ones if they are too few, and one more unreachable one so that
  /// partitions heal.
  /// @param LiveCount Number of VMs without the additional one.
  /// @param Random Random number that determines the selection.
  [[nodiscard]] std::vector<core::Member>
  selectPeers(std::size_t LiveCount, std::uint64_t Random) const;

private:
  struct Entry {
    core::Member Info;
    /// Latest time at which this VM or, by gossip, another one received a frame
    /// of the VM.
    core::TimePoint LastHeard;
    /// Whether the platform's latest list contains the VM.
    bool Listed = false;
    /// Whether a Hello or gossip has confirmed the VM since it was last
    /// removed. Only confirmed VMs are members.
    bool Confirmed = false;
  };
  using Entries = std::map<std::string, Entry, std::less<>>;

  [[nodiscard]] bool merge(const MemberEntry &Received, core::TimePoint Now);
  void updateLastHeard(Entry &Item, core::TimePoint HeardAt);
  void recordChange(const Entry &Item, std::string_view State);
  [[nodiscard]] GossipMessage lockedDigest() const;
  [[nodiscard]] std::vector<std::vector<const Entry *>> buckets() const;
  [[nodiscard]] std::uint8_t age(const Entry &Item, core::TimePoint Now) const;
  [[nodiscard]] bool recentlyPaused(core::TimePoint Now) const noexcept;

  const PeerOptions Options;
  const core::Clock &Time;
  core::EventSink &Events;
  std::atomic<std::uint64_t> Version{1};
  mutable std::mutex Mutex;
  core::Member Self;
  // All VMs except this one, by id.
  Entries Others;
  core::TimePoint LastTick;
  // Gossip received before this time may have been in a socket buffer during a
  // pause of this process, so its ages are too low.
  core::TimePoint AgesValidFrom;
  // No VM becomes suspect and none is removed before this time.
  core::TimePoint SuspicionFrom;
  // Limits the log lines of single members.
  decision::TokenBucket LogTokens;
  // Changes without a line of their own since the last summary.
  std::size_t UnloggedChanges = 0;
};

} // namespace jujubecart::peers

#endif
