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

/// @brief Store key of the head.
constexpr std::string_view HeadKey = "config/head";

/// @brief Accepted tickets that the head holds.
constexpr std::size_t MaxRecentTickets = 64;

/// @brief Last change of one service.
struct HeadEntry {
  core::Revision Changed = 0;
  /// Number of the ticket that made the change.
  std::uint64_t Ticket = 0;
  /// Store key of the value; empty if the service was removed.
  std::string Key;

  friend auto operator<=>(const HeadEntry &, const HeadEntry &) = default;
};

/// @brief Record of an accepted ticket.
struct AcceptedTicket {
  std::uint64_t Number = 0;
  std::string Digest;
  core::Revision Accepted = 0;

  friend auto operator<=>(const AcceptedTicket &,
                          const AcceptedTicket &) = default;
};

/// @brief Value of the key `config/head`.
struct ConfigHead {
  core::Revision Number = 0;
  std::map<std::string, HeadEntry> Services;
  /// Oldest first.
  std::vector<AcceptedTicket> Recent;

  /// @brief Finds a recent ticket by its number.
  [[nodiscard]] const AcceptedTicket *
  findRecent(std::uint64_t Ticket) const noexcept;

  friend auto operator<=>(const ConfigHead &, const ConfigHead &) = default;
};

/// @brief Writes a head as JSON text.
[[nodiscard]] std::string writeHead(const ConfigHead &Head);

/// @brief Reads the format of @ref writeHead.
/// @return The head or Malformed.
[[nodiscard]] core::Result<ConfigHead> readHead(std::string_view Text);

/// @brief Writes a ticket record as JSON text.
[[nodiscard]] std::string writeAccepted(const AcceptedTicket &Ticket);

/// @brief Reads the format of @ref writeAccepted.
/// @return The record or Malformed.
[[nodiscard]] core::Result<AcceptedTicket> readAccepted(std::string_view Text);

} // namespace jujubecart::store

#endif
