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

/// @brief Chooses a backend server using only what this VM knows; not
/// thread-safe.
class LocalPolicy {
public:
  virtual ~LocalPolicy() = default;

  /// @brief Chooses an active backend server that is not excluded.
  /// @param Servers Backend servers of one service.
  /// @param Excluded Ids of servers that must not be chosen.
  /// @param Now Current time.
  /// @return Index in Servers, or nothing if no server is eligible.
  [[nodiscard]] virtual std::optional<std::size_t>
  pick(const std::vector<core::BackendServer> &Servers,
       std::span<const std::string> Excluded, core::TimePoint Now) = 0;

  /// @brief Records that a call is about to be sent; called once for each
  /// choice that is used. Does nothing by default.
  virtual void onStart(std::string_view ServerId, core::TimePoint Now);

  /// @brief Records how a call ended; called once for each onStart. Does
  /// nothing by default.
  virtual void onEnd(std::string_view ServerId, const core::CallReport &Report,
                     core::TimePoint Now);
};

/// @brief Creates a policy by name.
/// @param Name `power-of-two-choices`, `round-robin`, `random` or
/// `least-reported`.
/// @param Seed Seed of the policy's random numbers or starting position.
/// @return The policy, or nullptr if the name is unknown.
[[nodiscard]] std::unique_ptr<LocalPolicy>
makeLocalPolicy(std::string_view Name, std::uint64_t Seed);

} // namespace jujubecart::decision

#endif
