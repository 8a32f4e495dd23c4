#ifndef JUJUBECART_DECISION_ROUND_ROBIN_HPP
#define JUJUBECART_DECISION_ROUND_ROBIN_HPP

#include <jujubecart/decision/local_policy.hpp>

namespace jujubecart::decision {

/// @brief Takes the servers in turn.
class RoundRobin final : public LocalPolicy {
public:
  /// @param Seed Decides where the turn starts, so that VMs differ.
  explicit RoundRobin(std::uint64_t Seed) : Next(Seed) {}

  [[nodiscard]] std::optional<std::size_t>
  pick(const std::vector<core::BackendServer> &Servers,
       std::span<const std::string> Excluded, core::TimePoint Now) override;

private:
  std::uint64_t Next;
};

} // namespace jujubecart::decision

#endif
