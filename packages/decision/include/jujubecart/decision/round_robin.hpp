#ifndef JUJUBECART_DECISION_ROUND_ROBIN_HPP
#define JUJUBECART_DECISION_ROUND_ROBIN_HPP

#include <jujubecart/decision/local_policy.hpp>

namespace jujubecart::decision {

/// @brief Chooses the eligible servers in turn.
class RoundRobin final : public LocalPolicy {
public:
  /// @param Seed Position of the first choice; it should differ between VMs so
  /// that they do not all start with the same server.
  explicit RoundRobin(std::uint64_t Seed) : Next(Seed) {}

  [[nodiscard]] std::optional<std::size_t>
  pick(const std::vector<core::BackendServer> &Servers,
       std::span<const std::string> Excluded, core::TimePoint Now) override;

private:
  /// Position of the next choice, modulo the number of servers.
  std::uint64_t Next;
};

} // namespace jujubecart::decision

#endif
