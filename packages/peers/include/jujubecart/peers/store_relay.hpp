#ifndef JUJUBECART_PEERS_STORE_RELAY_HPP
#define JUJUBECART_PEERS_STORE_RELAY_HPP

#include <jujubecart/core/entry_store.hpp>
#include <jujubecart/core/member.hpp>
#include <jujubecart/peers/link_table.hpp>
#include <jujubecart/peers/transit_delay.hpp>

#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace jujubecart::peers {

/// @brief Broadcasts the changes that one VM reads from the store, so that the
/// other VMs need not read them. Thread-safe.
class StoreRelay : public LinkListener {
public:
  /// Gets the changes and when a VM got them from the store.
  using ChangeHandler =
      std::function<void(const core::EntryChanges &, core::TimePoint)>;

  StoreRelay(LinkTable &Links, const core::MemberSource &Members,
             const core::Clock &Time)
      : Links(Links), Members(Members), Time(Time) {}
  StoreRelay(const StoreRelay &) = delete;
  StoreRelay &operator=(const StoreRelay &) = delete;

  /// @brief Sets the handler of changes that other VMs broadcast; call before
  /// links open.
  void setChangeHandler(ChangeHandler NewHandler) {
    Handler = std::move(NewHandler);
  }

  /// @brief Sends changes read from the store to all other VMs, with earlier
  /// ones that a VM has missed. Without entries, tells them that nothing has
  /// changed up to List.AsOf.
  /// @param ReadAt When this VM got them from the store.
  void broadcast(const core::EntryChanges &Changes, core::TimePoint ReadAt);

  /// @brief Rank of this VM among the members that may read the store on
  /// behalf of all; the VM with rank 0 is the regular reader.
  [[nodiscard]] std::size_t readerRank();

  /// @brief Whether this VM knows no other live VM.
  [[nodiscard]] bool alone();

  void onOpen(const LinkPtr &Source) override;
  void onFrame(const LinkPtr &Source, const Frame &Item) override;
  void onClose(const LinkPtr &Source) override;

private:
  /// @brief Converts an instant that a peer states to this VM's clock.
  [[nodiscard]] core::TimePoint receivedInstant(const LinkPtr &Source,
                                                std::uint64_t SentAtMs);
  /// @brief Ranks the members again if they have changed; call with Mutex held.
  void updateRank();

  LinkTable &Links;
  const core::MemberSource &Members;
  const core::Clock &Time;
  ChangeHandler Handler;
  std::mutex Mutex;
  /// By link number.
  std::unordered_map<std::uint64_t, TransitDelay> Delays;
  /// Revision up to which all changes were sent, by link number.
  std::unordered_map<std::uint64_t, core::Revision> SentRevisions;
  /// Recent changes, kept for peers that missed a broadcast.
  core::EntryChanges RecentChanges;
  /// Member version for which Rank and LiveMembers were computed.
  std::optional<std::uint64_t> RankedMemberVersion;
  std::size_t Rank = 0;
  /// Members that may read, with this VM.
  std::size_t LiveMembers = 0;
};

} // namespace jujubecart::peers

#endif
