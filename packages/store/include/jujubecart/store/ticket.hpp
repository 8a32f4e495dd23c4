#ifndef JUJUBECART_STORE_TICKET_HPP
#define JUJUBECART_STORE_TICKET_HPP

#include <jujubecart/core/config.hpp>
#include <jujubecart/core/findings.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace jujubecart::store {

/// @brief Longest ticket text and largest value of the store, in bytes.
constexpr std::size_t MaxValueSize = 1'000'000;

/// @brief Change ticket of an operator.
struct Ticket {
  std::uint64_t Number = 0;
  /// Revision that the operator saw.
  core::Revision BasedOn = 0;
  /// New state of each touched service; nothing removes the service.
  std::map<std::string, std::optional<core::ServiceConfig>> Services;
  /// SHA-256 of the content, independent of key order and white space.
  std::string Digest;

  friend bool operator==(const Ticket &, const Ticket &) = default;
};

/// @brief Reads and validates a ticket file.
/// @param Text JSON text.
/// @param Report Collects the diagnostics.
/// @return The ticket, or nothing if anything was reported.
[[nodiscard]] std::optional<Ticket> parseTicket(std::string_view Text,
                                                core::Findings &Report);

} // namespace jujubecart::store

#endif
