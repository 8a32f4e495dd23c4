#ifndef JUJUBECART_DEV_COMMON_DRAW_HPP
#define JUJUBECART_DEV_COMMON_DRAW_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jujubecart::dev {

/// @brief Shape of the service times.
enum class Distribution : std::uint8_t { LogNormal, Bimodal };

/// @brief Service times that depend only on a request's draw.
struct ServiceTimes {
  Distribution Shape = Distribution::LogNormal;
  double MeanMs = 10.0;

  /// @brief Service time of the request with this draw at normal speed.
  [[nodiscard]] std::chrono::nanoseconds of(std::uint64_t Draw) const;
};

/// @brief Parses `lognormal` or `bimodal`.
[[nodiscard]] std::optional<Distribution>
parseDistribution(std::string_view Name) noexcept;

/// @brief Mixes a 64-bit value (SplitMix64 finalizer).
[[nodiscard]] std::uint64_t mix(std::uint64_t Value) noexcept;

/// @brief Formats a draw as 16 hexadecimal digits.
[[nodiscard]] std::string drawText(std::uint64_t Draw);

/// @brief Parses the format of @ref drawText.
[[nodiscard]] std::optional<std::uint64_t>
parseDraw(std::string_view Text) noexcept;

/// @brief Idempotency key of the order with a draw; no two runs share one.
/// @param RunStart When the run of the load generator began.
[[nodiscard]] std::string
orderKeyText(std::chrono::system_clock::time_point RunStart,
             std::uint64_t Draw);

/// @brief Complete response body for a draw: token, length, filler.
[[nodiscard]] std::string responseBody(std::uint64_t Draw);

/// @brief Complete request body of an order with this draw.
[[nodiscard]] std::string requestBody(std::uint64_t Draw);

} // namespace jujubecart::dev

#endif
