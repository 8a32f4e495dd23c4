#ifndef JUJUBECART_DECISION_INTERNAL_IDLE_CONNECTIONS_HPP
#define JUJUBECART_DECISION_INTERNAL_IDLE_CONNECTIONS_HPP

#include <jujubecart/core/clock.hpp>

#include <cstdint>
#include <vector>

namespace jujubecart::decision::internal {

/// @brief Which entry VMs most likely hold an idle connection to a backend
/// server, derived from the calls that they sent to it and that have ended.
class IdleConnections {
public:
  /// @brief Records that a VM sends a call, over an idle connection if it has
  /// one.
  /// @param Holder Hash of the id of the VM.
  void take(std::uint64_t Holder) noexcept;

  /// @brief Records that a call ended and its connection became idle.
  void put(std::uint64_t Holder, core::TimePoint Now);

  /// @brief Whether the VM can send a call without opening a connection.
  [[nodiscard]] bool has(std::uint64_t Holder,
                         core::TimePoint Now) const noexcept;

private:
  struct Entry {
    std::uint64_t Holder = 0;
    std::uint32_t Count = 0;
    core::TimePoint LastUsed;
  };

  [[nodiscard]] static bool expired(const Entry &Item,
                                    core::TimePoint Now) noexcept;

  std::vector<Entry> Entries;
};

} // namespace jujubecart::decision::internal

#endif
