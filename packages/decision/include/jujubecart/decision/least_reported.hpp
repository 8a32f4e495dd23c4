#ifndef JUJUBECART_DECISION_LEAST_REPORTED_HPP
#define JUJUBECART_DECISION_LEAST_REPORTED_HPP

#include <jujubecart/decision/internal/string_map.hpp>
#include <jujubecart/decision/local_policy.hpp>

#include <random>

namespace jujubecart::decision {

/// @brief Chooses the server with the fewest calls in flight per slot, as the
/// servers last reported it; servers without a report count as idle.
class LeastReportedLoad final : public LocalPolicy {
public:
  /// @param Seed Seed of the random tie-breaking.
  explicit LeastReportedLoad(std::uint64_t Seed) : Random(Seed) {}

  [[nodiscard]] std::optional<std::size_t>
  pick(const std::vector<core::BackendServer> &Servers,
       std::span<const std::string> Excluded, core::TimePoint Now) override;
  void onEnd(std::string_view ServerId, const core::CallReport &Report,
             core::TimePoint Now) override;

private:
  std::mt19937_64 Random;
  /// By server id.
  internal::StringMap<std::uint32_t> ReportedInFlight;
};

} // namespace jujubecart::decision

#endif
