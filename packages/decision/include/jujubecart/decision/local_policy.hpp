#ifndef JUJUBECART_DECISION_LOCAL_POLICY_HPP
#define JUJUBECART_DECISION_LOCAL_POLICY_HPP

#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/config.hpp>
#include <jujubecart/core/slot_broker.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jujubecart::decision {

/// @brief Chooses a backend server from what one VM knows; not thread-safe.
class LocalPolicy {
public:
  virtual ~LocalPolicy() = default;

  /// @brief Chooses an active backend server that is not excluded.
  /// @param Servers Backend servers of one service.
  /// @param Excluded Ids that must not be chosen.
  /// @return Index in Servers, or nothing if there is no candidate.
  [[nodiscard]] virtual std::optional<std::size_t>
  pick(const std::vector<core::BackendServer> &Servers,
       std::span<const std::string> Excluded, core::TimePoint Now) = 0;

  /// @brief Records that a call was sent.
  virtual void onStart(std::string_view ServerId, core::TimePoint Now);

  /// @brief Records how a call ended.
  virtual void onEnd(std::string_view ServerId, const core::CallReport &Report,
                     core::TimePoint Now);
};

/// @brief Creates a policy.
/// @param Name `power-of-two-choices`, `round-robin`, `random` or
/// `least-reported`.
/// @param Seed Seed of its random numbers.
/// @return The policy, or nullptr if the name is unknown.
[[nodiscard]] std::unique_ptr<LocalPolicy>
makeLocalPolicy(std::string_view Name, std::uint64_t Seed);

} // namespace jujubecart::decision

#endif
