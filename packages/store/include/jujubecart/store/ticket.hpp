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

/// @brief Maximum size of a ticket file and of a value of the store, in bytes.
constexpr std::size_t MaxValueSize = 1'000'000;

/// @brief Change to the configuration that an operator submits. Takes effect as
/// a whole or not at all.
struct Ticket {
  /// Number chosen by the operator; identifies the ticket.
  std::uint64_t Number = 0;
  /// Revision of the configuration that the change starts from. The ticket is
  /// rejected if one of its services has changed since.
  core::Revision BasedOn = 0;
  /// New configuration of each changed service; nothing removes the service.
  std::map<std::string, std::optional<core::ServiceConfig>> Services;
  /// SHA-256 of the content as hex digits; independent of key order and white
  /// space.
  std::string Digest;

  friend bool operator==(const Ticket &, const Ticket &) = default;
};

/// @brief Parses and validates a ticket file.
/// @param Text JSON text.
/// @param Report Collects the diagnostics; must be empty.
/// @return The ticket, or nothing if anything was reported.
[[nodiscard]] std::optional<Ticket> parseTicket(std::string_view Text,
                                                core::Findings &Report);

} // namespace jujubecart::store

#endif
