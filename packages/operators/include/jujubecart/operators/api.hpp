#ifndef JUJUBECART_OPERATORS_API_HPP
#define JUJUBECART_OPERATORS_API_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace jujubecart::operators {

/// @brief HTTP answer of an operators' endpoint.
struct Answer {
  unsigned Status = 200;
  std::string ContentType = "application/json";
  std::string Body;

  friend auto operator<=>(const Answer &, const Answer &) = default;
};

/// @brief Query of the timeline endpoint.
struct Query {
  /// Hybrid logical time of the last event already seen.
  std::uint64_t Since = 0;
  /// Largest number of events.
  std::uint64_t Limit = 10000;

  friend auto operator<=>(const Query &, const Query &) = default;
};

/// @brief Parses `since=<n>&limit=<n>`; unknown names are ignored.
[[nodiscard]] Query parseQuery(std::string_view Text) noexcept;

/// @brief What the operators' endpoints do; called from several threads.
class Api {
public:
  virtual ~Api() = default;

  /// @brief Submits a ticket.
  /// @param Text JSON text of the ticket.
  [[nodiscard]] virtual Answer submitTicket(const std::string &Text) = 0;

  /// @brief State of an earlier ticket.
  [[nodiscard]] virtual Answer showTicket(std::uint64_t Number) = 0;

  /// @brief Services in force.
  [[nodiscard]] virtual Answer services() = 0;

  /// @brief This VM, its members and the backend servers it dispatches to.
  [[nodiscard]] virtual Answer status() = 0;

  /// @brief Events recorded on this VM.
  [[nodiscard]] virtual Answer timeline(const Query &Filter) = 0;

  /// @brief Metrics in the Prometheus text format.
  [[nodiscard]] virtual Answer metrics() = 0;

  /// @brief 200 if this VM accepts callers, 503 with the reason otherwise.
  [[nodiscard]] virtual Answer readiness() = 0;
};

} // namespace jujubecart::operators

#endif
