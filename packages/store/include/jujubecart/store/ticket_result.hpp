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
  /// A touched service changed after `based_on`; not accepted.
  Beaten,
  /// The number belongs to an accepted ticket of other content.
  NumberReused,
  /// Validation failed; see the findings.
  Invalid,
  /// The ticket may have been accepted; submit it again to find out.
  Unknown,
  /// Certainly not accepted by this submission; the store did not respond.
  Unavailable,
};

/// @brief Response to a submitted ticket; unused fields stay empty.
struct TicketResult {
  TicketStatus Status = TicketStatus::Unavailable;
  std::uint64_t Number = 0;
  /// Accepted: revision of the ticket. Beaten: revision that beat it.
  core::Revision Accepted = 0;
  /// Beaten: number of the ticket that changed the service.
  std::uint64_t BeatenBy = 0;
  /// Beaten: the service.
  std::string Service;
  std::vector<core::Finding> Findings;

  friend auto operator<=>(const TicketResult &, const TicketResult &) = default;
};

/// @brief Name of a status as it stands in responses and logs.
[[nodiscard]] std::string_view toString(TicketStatus Status) noexcept;

} // namespace jujubecart::store

#endif
