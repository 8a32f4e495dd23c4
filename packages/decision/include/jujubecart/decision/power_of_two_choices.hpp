#ifndef JUJUBECART_DECISION_POWER_OF_TWO_CHOICES_HPP
#define JUJUBECART_DECISION_POWER_OF_TWO_CHOICES_HPP

#include <jujubecart/decision/internal/string_map.hpp>
#include <jujubecart/decision/local_policy.hpp>

#include <random>

namespace jujubecart::decision {

/// @brief Compares two random servers and chooses the one with fewer calls of
/// this VM in flight per slot.
class PowerOfTwoChoices final : public LocalPolicy {
public:
  /// @param Seed Seed of the random choice.
  explicit PowerOfTwoChoices(std::uint64_t Seed) : Random(Seed) {}

  [[nodiscard]] std::optional<std::size_t>
  pick(const std::vector<core::BackendServer> &Servers,
       std::span<const std::string> Excluded, core::TimePoint Now) override;
  void onStart(std::string_view ServerId, core::TimePoint Now) override;
  void onEnd(std::string_view ServerId, const core::CallReport &Report,
             core::TimePoint Now) override;

private:
  [[nodiscard]] double loadPerSlot(const core::BackendServer &Server) const;

  std::mt19937_64 Random;
  /// Calls of this VM by server id; idle servers are absent.
  internal::StringMap<std::uint32_t> InFlight;
};

} // namespace jujubecart::decision

#endif
