#ifndef JUJUBECART_PEERS_SRC_STATED_LIMITS_HPP
#define JUJUBECART_PEERS_SRC_STATED_LIMITS_HPP

#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/config.hpp>
#include <jujubecart/core/slot_broker.hpp>
#include <jujubecart/decision/pending_call.hpp>
#include <jujubecart/peers/group_directory.hpp>

#include <string>
#include <unordered_map>
#include <vector>

namespace jujubecart::peers::internal {

/// @brief Rate limits that backend servers have stated to this VM. Not
/// thread-safe.
class StatedLimits {
public:
  /// @brief Learns from the result of a call and logs each change.
  /// @param Server Server that the call was sent to.
  void record(const core::BackendServer &Server, const core::CallReport &Report,
              core::TimePoint Now);

  /// @brief Limits that servers of a group have stated lately.
  [[nodiscard]] std::vector<decision::StatedLimit>
  collect(const GroupEntry &Entry, core::TimePoint Now) const;

private:
  struct Statement {
    core::RateLimit Limit;
    /// When it was stated last.
    core::TimePoint StatedAt;
    /// Process that stated it.
    std::uint64_t Incarnation = 0;
  };

  /// By server id.
  std::unordered_map<std::string, Statement> Limits;
};

} // namespace jujubecart::peers::internal

#endif
