#ifndef JUJUBECART_DECISION_INTERNAL_ZONE_COSTS_HPP
#define JUJUBECART_DECISION_INTERNAL_ZONE_COSTS_HPP

#include <jujubecart/core/clock.hpp>
#include <jujubecart/decision/internal/string_map.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace jujubecart::decision::internal {

/// @brief What a call to a backend server in another availability zone costs:
/// the network delay between the zones, as measured, and the price of the bytes
/// that cross.
class ZoneCosts {
public:
  /// @param OwnZone Zone of this VM, from which round trips are measured.
  /// @param PricePerGb Price of a gigabyte between zones, in calls that meet
  /// their objective; without one, a call to another zone has a fixed price and
  /// its delay is not weighed.
  explicit ZoneCosts(std::string OwnZone = {},
                     std::optional<double> PricePerGb = std::nullopt);

  /// @brief Whether a price of bytes is configured.
  [[nodiscard]] bool priced() const noexcept { return PricePerGb.has_value(); }

  /// @brief Records the time from this VM to a backend server and back.
  void recordRoundTrip(std::string_view ServerZone,
                       std::chrono::microseconds RoundTrip,
                       core::TimePoint Now);

  /// @brief Records the bytes of the request and the response of a call.
  void recordBytes(std::uint64_t WorkClass, std::uint64_t Bytes);

  /// @brief Time by which a round trip between two zones is longer than one
  /// within a zone; 0 until it is known.
  [[nodiscard]] std::chrono::microseconds
  extraRoundTrip(std::string_view From, std::string_view To) const;

  /// @brief Price of a call to another zone, in calls that meet their
  /// objective.
  [[nodiscard]] double price(std::uint64_t WorkClass) const;

private:
  /// @brief Smallest round trip of the current period and of the one before.
  struct RoundTrips {
    std::chrono::microseconds Smallest = std::chrono::microseconds::max();
    std::chrono::microseconds Earlier = std::chrono::microseconds::max();
    core::TimePoint PeriodStart;
  };

  /// @brief Moving average of the bytes of a call.
  struct Average {
    double Value = 0;
    std::size_t Samples = 0;

    void add(double Sample) noexcept;
  };

  /// @brief Extra round trip from OwnZone to another zone.
  [[nodiscard]] std::chrono::microseconds extraTo(std::string_view Zone) const;

  std::string OwnZone;
  std::optional<double> PricePerGb;
  StringMap<RoundTrips> ByZone;
  std::unordered_map<std::uint64_t, Average> BytesByClass;
  Average AnyBytes;
};

} // namespace jujubecart::decision::internal

#endif
