#ifndef JUJUBECART_DECISION_INTERNAL_GRANT_TABLE_HPP
#define JUJUBECART_DECISION_INTERNAL_GRANT_TABLE_HPP

#include <jujubecart/decision/pending_call.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace jujubecart::decision::internal {

/// @brief Outstanding grants of a dispatcher, by grant id.
/// @tparam Details What the dispatcher keeps with each grant.
template <typename Details> class GrantTable {
public:
  struct Grant {
    std::string Holder;
    /// Index of the server in the dispatcher's table.
    std::uint32_t Server = 0;
    /// From when on the holder is assumed to have lost the grant.
    core::TimePoint LostAt;
    Details Kept;
  };

  /// @param FirstId Id of the first grant; the others follow.
  explicit GrantTable(std::uint64_t FirstId) noexcept : NextId(FirstId) {}

  /// @return Id of the new grant.
  std::uint64_t add(const PendingCall &Call, std::uint32_t Server,
                    Details Kept) {
    const std::uint64_t Id = NextId++;
    Grants.emplace(Id, Grant{.Holder = Call.Holder,
                             .Server = Server,
                             .LostAt = Call.Deadline + LostGrantTimeout,
                             .Kept = std::move(Kept)});
    return Id;
  }

  /// @brief Removes a grant.
  /// @return The grant, or nothing if it is not outstanding.
  [[nodiscard]] std::optional<Grant> take(std::uint64_t Id) {
    auto Found = Grants.extract(Id);
    if (Found.empty())
      return std::nullopt;
    return std::move(Found.mapped());
  }

  /// @brief Removes the grants of a holder.
  /// @param Drop Called with the server index and id of each.
  template <typename Action>
  void dropHolder(std::string_view Holder, Action Drop) {
    dropIf([&](const Grant &Item) { return Item.Holder == Holder; }, Drop);
  }

  /// @brief Removes the grants that their holders have lost.
  /// @param Drop Called with the server index and id of each.
  template <typename Action> void dropLost(core::TimePoint Now, Action Drop) {
    dropIf([&](const Grant &Item) { return Item.LostAt <= Now; }, Drop);
  }

private:
  // Added to the deadline of the call.
  static constexpr std::chrono::seconds LostGrantTimeout{2};

  template <typename Predicate, typename Action>
  void dropIf(Predicate Matches, Action Drop) {
    std::erase_if(Grants, [&](const auto &Item) {
      if (!Matches(Item.second))
        return false;
      Drop(Item.second.Server, Item.first);
      return true;
    });
  }

  std::unordered_map<std::uint64_t, Grant> Grants;
  std::uint64_t NextId;
};

} // namespace jujubecart::decision::internal

#endif
