#ifndef JUJUBECART_PEERS_MEMBER_TABLE_HPP
#define JUJUBECART_PEERS_MEMBER_TABLE_HPP

#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/event_sink.hpp>
#include <jujubecart/core/member.hpp>
#include <jujubecart/peers/message.hpp>
#include <jujubecart/peers/peer_options.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace jujubecart::peers {

/// @brief Entry VMs known here, merged from the platform's list and gossip.
class MemberTable final : public core::MemberSource {
public:
  static constexpr std::size_t Buckets = 16;
  static constexpr std::chrono::milliseconds AgeUnit{100};

  /// @brief Creates a table that knows only this VM.
  MemberTable(const PeerOptions &Options, const core::Clock &Time,
              core::EventSink &Events);

  [[nodiscard]] core::Member self() const override;
  [[nodiscard]] std::vector<core::Member> members() const override;
  [[nodiscard]] std::uint64_t version() const noexcept override;

  /// @brief Takes the platform's list, which may lag.
  void update(const std::vector<core::Member> &Listed);

  /// @brief Sets the address that other VMs use; for a bound port 0.
  void setAddress(std::string Address);

  /// @brief Marks this VM as leaving.
  void leave();

  /// @brief Records that a frame of a VM arrived.
  void heard(const std::string &Vm, std::uint64_t Incarnation);

  /// @brief Records a VM's Hello.
  void greet(const Hello &Item);

  /// @brief Digest of the table for a gossip message.
  [[nodiscard]] GossipMessage digest() const;

  /// @brief Merges a digest.
  /// @return Entries that the sender lacks or has in another state.
  [[nodiscard]] std::vector<MemberEntry> merge(const GossipMessage &Item);

  /// @brief Ages the entries; called at least every 250 ms.
  /// @return Ids of VMs that became suspect or were removed.
  std::vector<std::string> tick();

  /// @brief VMs to gossip with: live ones, and one that was not heard from.
  [[nodiscard]] std::vector<core::Member> contacts(std::size_t Live,
                                                   std::uint64_t Random) const;

private:
  struct Entry {
    core::Member Info;
    core::TimePoint Heard;
    bool Listed = false;
    /// Whether a frame or gossip ever confirmed the VM.
    bool Known = false;
  };
  using Entries = std::map<std::string, Entry, std::less<>>;

  [[nodiscard]] bool merge(const MemberEntry &Item, core::TimePoint Now);
  void refresh(Entry &Item, core::TimePoint Heard);
  void changed(const Entry &Item, std::string_view Why);
  [[nodiscard]] GossipMessage lockedDigest() const;
  [[nodiscard]] std::vector<std::vector<const Entry *>> buckets() const;
  [[nodiscard]] std::uint8_t age(const Entry &Item, core::TimePoint Now) const;
  [[nodiscard]] bool paused(core::TimePoint Now) const noexcept;

  const PeerOptions Options;
  const core::Clock &Time;
  core::EventSink &Events;
  std::atomic<std::uint64_t> Version{1};
  mutable std::mutex Mutex;
  core::Member Self;
  // Other VMs.
  Entries Others;
  core::TimePoint LastTick;
  // Ages received before this instant may have waited in a socket.
  core::TimePoint TrustFrom;
  // Nobody becomes suspect before this instant.
  core::TimePoint JudgeFrom;
};

} // namespace jujubecart::peers

#endif
