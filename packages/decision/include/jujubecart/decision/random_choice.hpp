#ifndef JUJUBECART_DECISION_RANDOM_CHOICE_HPP
#define JUJUBECART_DECISION_RANDOM_CHOICE_HPP

#include <jujubecart/decision/local_policy.hpp>

#include <random>

namespace jujubecart::decision {

/// @brief Chooses a random eligible server.
class RandomChoice final : public LocalPolicy {
public:
  /// @param Seed Seed of the random choice.
  explicit RandomChoice(std::uint64_t Seed) : Random(Seed) {}

  [[nodiscard]] std::optional<std::size_t>
  pick(const std::vector<core::BackendServer> &Servers,
       std::span<const std::string> Excluded, core::TimePoint Now) override;

private:
  std::mt19937_64 Random;
};

} // namespace jujubecart::decision

#endif
