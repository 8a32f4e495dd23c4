#ifndef JUJUBECART_OPERATORS_SRC_ENDPOINTS_HPP
#define JUJUBECART_OPERATORS_SRC_ENDPOINTS_HPP

#include <jujubecart/operators/api.hpp>

#include <cstddef>
#include <string>

namespace jujubecart::operators::internal {

/// Limit of a ticket, in bytes. Services with about 10,000 backend servers of
/// 120 bytes each must fit.
constexpr std::size_t MaxBodyBytes = 4U << 20U;

/// @brief HTTP request for an operators' endpoint.
struct Request {
  std::string Method;
  /// Path with the query string.
  std::string Target;
  std::string Body;
  /// Whether the body had more than MaxBodyBytes; its end is missing then.
  bool Oversized = false;
};

/// @brief Response with a JSON object that holds the message.
[[nodiscard]] Response errorResponse(unsigned Status,
                                     const std::string &Message);

/// @brief Calls the handler of the request's endpoint; an exception of it gives
/// status 500.
[[nodiscard]] Response handleRequest(Api &Endpoints, const Request &From);

} // namespace jujubecart::operators::internal

#endif
