#ifndef JUJUBECART_CORE_LOAD_REPORT_HPP
#define JUJUBECART_CORE_LOAD_REPORT_HPP

#include <compare>
#include <cstdint>

namespace jujubecart::core {

/// @brief Load that a backend server reports about itself.
struct LoadReport {
  /// Value of PacePercent at the normal processing speed.
  static constexpr std::uint32_t NormalPacePercent = 100;

  /// Requests that the server is running or has queued.
  std::uint32_t InFlight = 0;
  /// Current processing time of a request, in percent of the normal time;
  /// above 100 means slower.
  std::uint32_t PacePercent = NormalPacePercent;

  friend auto operator<=>(const LoadReport &, const LoadReport &) = default;
};

} // namespace jujubecart::core

#endif
