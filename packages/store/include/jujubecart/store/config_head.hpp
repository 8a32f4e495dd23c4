#ifndef JUJUBECART_STORE_CONFIG_HEAD_HPP
#define JUJUBECART_STORE_CONFIG_HEAD_HPP

#include <jujubecart/core/config.hpp>
#include <jujubecart/core/error.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jujubecart::store {

/// @brief Store key of the configuration head.
constexpr std::string_view HeadKey = "config/head";

/// @brief Maximum number of accepted tickets that the head lists; older ones
/// are in the archive, under `config/ticket/<number>`.
constexpr std::size_t MaxRecentTickets = 64;

/// @brief Last change of one service, and where its configuration is stored.
struct HeadEntry {
  /// Revision of the change.
  core::Revision Changed = 0;
  /// Number of the ticket that made the change.
  std::uint64_t Ticket = 0;
  /// Store key of the value; empty if the service was removed.
  std::string Key;

  friend auto operator<=>(const HeadEntry &, const HeadEntry &) = default;
};

/// @brief Record of an accepted ticket, kept to recognize repeated submissions.
struct AcceptedTicket {
  std::uint64_t Number = 0;
  /// @ref Ticket::Digest of the accepted content.
  std::string Digest;
  /// Revision that the ticket created.
  core::Revision Revision = 0;

  friend auto operator<=>(const AcceptedTicket &,
                          const AcceptedTicket &) = default;
};

/// @brief Configuration head: the value of the key `config/head`. Replacing it
/// by compare-and-swap puts a new revision of the configuration in force.
struct ConfigHead {
  /// Revision of the configuration; 0 before the first ticket.
  core::Revision Revision = 0;
  /// By service name, including removed services.
  std::map<std::string, HeadEntry> Services;
  /// Tickets accepted last, oldest first.
  std::vector<AcceptedTicket> RecentTickets;

  /// @brief Finds a ticket among the recent ones; null if it is not listed.
  [[nodiscard]] const AcceptedTicket *
  findRecent(std::uint64_t Ticket) const noexcept;

  friend auto operator<=>(const ConfigHead &, const ConfigHead &) = default;
};

/// @brief Encodes a head as JSON text.
[[nodiscard]] std::string writeHead(const ConfigHead &Head);

/// @brief Decodes the format of @ref writeHead.
/// @return The head or Malformed.
[[nodiscard]] core::Result<ConfigHead> readHead(std::string_view Text);

/// @brief Encodes a ticket record as JSON text.
[[nodiscard]] std::string writeAccepted(const AcceptedTicket &Ticket);

/// @brief Decodes the format of @ref writeAccepted.
/// @return The record or Malformed.
[[nodiscard]] core::Result<AcceptedTicket> readAccepted(std::string_view Text);

} // namespace jujubecart::store

#endif
