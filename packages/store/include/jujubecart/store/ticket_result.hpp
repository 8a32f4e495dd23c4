#ifndef JUJUBECART_STORE_TICKET_RESULT_HPP
#define JUJUBECART_STORE_TICKET_RESULT_HPP

#include <jujubecart/core/config.hpp>
#include <jujubecart/core/findings.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jujubecart::store {

/// @brief Decision on a submitted ticket.
enum class TicketStatus : std::uint8_t {
  /// Accepted by this or an earlier submission.
  Accepted,
  /// Not accepted: a service of the ticket changed after `based_on`.
  Beaten,
  /// Not accepted: the number belongs to an accepted ticket with different
  /// content.
  NumberReused,
  /// Not accepted: validation failed; see the findings.
  Invalid,
  /// The outcome is unknown; submit the ticket again to find out.
  Unknown,
  /// The store failed, and this submission certainly did not take effect.
  Unavailable,
};

/// @brief Response to a submitted ticket; fields that do not apply to the
/// status stay empty.
struct TicketResult {
  TicketStatus Status = TicketStatus::Unavailable;
  std::uint64_t Number = 0;
  /// Accepted: revision that the ticket created. Beaten: revision in which the
  /// conflicting change was made.
  core::Revision Revision = 0;
  /// Beaten: number of the ticket that made the conflicting change.
  std::uint64_t BeatenBy = 0;
  /// Beaten: name of the service that both tickets change.
  std::string Service;
  /// Invalid: what is wrong with the ticket.
  std::vector<core::Finding> Findings;

  friend auto operator<=>(const TicketResult &, const TicketResult &) = default;
};

/// @brief Returns the name of a status as used in HTTP responses and logs.
[[nodiscard]] std::string_view toString(TicketStatus Status) noexcept;

} // namespace jujubecart::store

#endif
