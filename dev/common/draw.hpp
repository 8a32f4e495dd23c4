#ifndef JUJUBECART_DEV_COMMON_DRAW_HPP
#define JUJUBECART_DEV_COMMON_DRAW_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jujubecart::dev {

/// @brief Distribution of service times; both have a coefficient of variation
/// of 1.5.
enum class Distribution : std::uint8_t { LogNormal, Bimodal };

/// @brief Derives service times from draws.
///
/// A draw is the 64-bit random number that identifies a request. Its service
/// time and bodies depend only on it, so that every server choice policy is
/// measured with the same requests.
struct ServiceTimeModel {
  Distribution Shape = Distribution::LogNormal;
  double MeanMs = 10.0;

  /// @brief Service time of the request with this draw, before any slowdown.
  [[nodiscard]] std::chrono::nanoseconds forDraw(std::uint64_t Draw) const;
};

/// @brief Parses `lognormal` or `bimodal`; empty for anything else.
[[nodiscard]] std::optional<Distribution>
parseDistribution(std::string_view Name) noexcept;

/// @brief One step of the SplitMix64 generator: hashes a 64-bit value.
[[nodiscard]] std::uint64_t splitMix64(std::uint64_t Value) noexcept;

/// @brief Formats a draw as 16 lowercase hexadecimal digits.
[[nodiscard]] std::string formatDraw(std::uint64_t Draw);

/// @brief Parses the format of @ref formatDraw; empty if malformed.
[[nodiscard]] std::optional<std::uint64_t>
parseDraw(std::string_view Text) noexcept;

/// @brief Idempotency key of the order with this draw.
/// @param RunStart Start of the load generator, part of the key. Two runs with
/// the same seed have equal draws and must not share keys.
[[nodiscard]] std::string
formatOrderKey(std::chrono::system_clock::time_point RunStart,
               std::uint64_t Draw);

/// @brief Expected response body for a draw: token, length and filler.
[[nodiscard]] std::string makeResponseBody(std::uint64_t Draw);

/// @brief Request body of the order with this draw.
[[nodiscard]] std::string makeRequestBody(std::uint64_t Draw);

} // namespace jujubecart::dev

#endif
