#ifndef JUJUBECART_CORE_LOAD_REPORT_HPP
#define JUJUBECART_CORE_LOAD_REPORT_HPP

#include <compare>
#include <cstdint>

namespace jujubecart::core {

/// @brief What a backend server says of its load.
struct LoadReport {
  /// Work takes as long as usual.
  static constexpr std::uint32_t UsualPace = 100;

  /// Requests running and waiting.
  std::uint32_t InFlight = 0;
  /// Time that work takes now, in percent of the usual time.
  std::uint32_t PacePercent = UsualPace;

  friend auto operator<=>(const LoadReport &, const LoadReport &) = default;
};

} // namespace jujubecart::core

#endif
