#ifndef JUJUBECART_OPERATORS_API_HPP
#define JUJUBECART_OPERATORS_API_HPP

#include <jujubecart/operators/explain_query.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace jujubecart::operators {

/// @brief HTTP response of an operators' endpoint.
struct Response {
  unsigned Status = 200;
  std::string ContentType = "application/json";
  std::string Body;

  friend auto operator<=>(const Response &, const Response &) = default;
};

/// @brief Query parameters of `GET /timeline`.
struct TimelineQuery {
  /// Hybrid logical time; only later events are returned, 0 returns all.
  std::uint64_t Since = 0;
  /// Maximum number of events to return.
  std::uint64_t Limit = 10000;

  friend auto operator<=>(const TimelineQuery &,
                          const TimelineQuery &) = default;
};

/// @brief Parses `since=<n>&limit=<n>`; unknown parameters are ignored,
/// and values that are missing or not numbers keep their defaults.
/// @param Text Query string without the question mark.
[[nodiscard]] TimelineQuery parseTimelineQuery(std::string_view Text);

/// @brief Request handlers of the operators' HTTP endpoints; called
/// concurrently from several threads.
class Api {
public:
  virtual ~Api() = default;

  /// @brief Handles `POST /tickets`.
  /// @param Text JSON text of the ticket.
  [[nodiscard]] virtual Response submitTicket(const std::string &Text) = 0;

  /// @brief Handles `GET /tickets/<number>`: whether the ticket was accepted.
  [[nodiscard]] virtual Response showTicket(std::uint64_t Number) = 0;

  /// @brief Handles `GET /services`: the configuration in force.
  [[nodiscard]] virtual Response services() = 0;

  /// @brief Handles `GET /status`: this VM, the members it knows and the
  /// backend servers for which it is the dispatcher.
  [[nodiscard]] virtual Response status() = 0;

  /// @brief Handles `GET /timeline`: events recorded on this VM.
  [[nodiscard]] virtual Response timeline(const TimelineQuery &Filter) = 0;

  /// @brief Handles `GET /explain`: where a request would go now, and why.
  [[nodiscard]] virtual Response explain(const ExplainQuery &Query) = 0;

  /// @brief Handles `GET /metrics` in the Prometheus text format.
  [[nodiscard]] virtual Response metrics() = 0;

  /// @brief Handles `GET /ready`: 200 if this VM accepts callers, 503 with the
  /// reason otherwise.
  [[nodiscard]] virtual Response readiness() = 0;
};

} // namespace jujubecart::operators

#endif
