#ifndef JUJUBECART_PEERS_SRC_SERVER_STATEMENTS_HPP
#define JUJUBECART_PEERS_SRC_SERVER_STATEMENTS_HPP

#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/config.hpp>
#include <jujubecart/core/slot_broker.hpp>
#include <jujubecart/decision/pending_call.hpp>
#include <jujubecart/peers/group_directory.hpp>

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace jujubecart::peers::internal {

/// @brief What backend servers have stated about themselves in responses to
/// this VM: rate limits, that they leave, and that they want no requests for a
/// time. A statement binds the process that made it. Not thread-safe.
class ServerStatements {
public:
  /// @brief Learns from the result of a call and logs each change.
  /// @param Server Server that the call was sent to.
  void record(const core::BackendServer &Server, const core::CallReport &Report,
              core::TimePoint Now);

  /// @brief Rate limits that servers of a group have stated lately.
  [[nodiscard]] std::vector<decision::StatedLimit>
  limits(const GroupEntry &Entry, core::TimePoint Now) const;

  /// @brief Whether this VM must not send a request to a server now.
  [[nodiscard]] bool avoids(const core::BackendServer &Server,
                            core::TimePoint Now) const;

  /// @brief Appends the ids of the active servers of a group to which this VM
  /// must not send a request now.
  void appendAvoided(const GroupEntry &Entry, core::TimePoint Now,
                     std::vector<std::string> &Out) const;

private:
  struct Statement {
    /// Process that made the statement.
    std::uint64_t Incarnation = 0;
    std::optional<core::RateLimit> Limit;
    bool Leaving = false;
    /// The server wants no requests of this VM before this time.
    core::TimePoint QuietUntil = core::TimePoint::min();
    /// When it was last heard.
    core::TimePoint StatedAt;
  };

  /// @brief Statement of the process that a group lists under an id, or
  /// nullptr.
  [[nodiscard]] const Statement *find(const core::BackendServer &Server) const;
  void removeOutdated(core::TimePoint Now);

  /// By server id.
  std::unordered_map<std::string, Statement> Statements;
};

} // namespace jujubecart::peers::internal

#endif
