#ifndef JUJUBECART_PEERS_STORE_RELAY_HPP
#define JUJUBECART_PEERS_STORE_RELAY_HPP

#include <jujubecart/core/entry_store.hpp>
#include <jujubecart/core/member.hpp>
#include <jujubecart/peers/link_table.hpp>

#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace jujubecart::peers {

/// @brief Passes on what one VM reads from the store, so that the others need
/// not ask it.
class StoreRelay : public LinkListener {
public:
  using Receiver = std::function<void(const core::EntryChanges &)>;

  StoreRelay(LinkTable &Links, const core::MemberSource &Members)
      : Links(Links), Members(Members) {}
  StoreRelay(const StoreRelay &) = delete;
  StoreRelay &operator=(const StoreRelay &) = delete;

  /// @brief Sets who hears what other VMs read; call before links open.
  void onChanges(Receiver Notify) { Notified = std::move(Notify); }

  /// @brief Sends an answer of the store to all other VMs; one without
  /// entries tells that nothing changed.
  void share(const core::EntryChanges &Changes);

  /// @brief Position of this VM among those that could read the store for
  /// all; 0 reads all the time.
  [[nodiscard]] std::size_t readerRank();

  void onFrame(const LinkPtr &Source, const Frame &Item) override;
  void onClose(const LinkPtr &Source) override;

private:
  LinkTable &Links;
  const core::MemberSource &Members;
  Receiver Notified;
  std::mutex Mutex;
  /// Revision up to which a link's peer was told everything.
  std::unordered_map<std::uint64_t, core::Revision> Told;
  /// Recent changes for peers that missed an answer.
  core::EntryChanges Recent;
  /// Rank of this VM among the members of a version.
  std::optional<std::uint64_t> RankedVersion;
  std::size_t Rank = 0;
};

} // namespace jujubecart::peers

#endif
