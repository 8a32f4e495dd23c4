#ifndef JUJUBECART_OPERATORS_CLIENT_HPP
#define JUJUBECART_OPERATORS_CLIENT_HPP

#include <jujubecart/core/error.hpp>
#include <jujubecart/operators/api.hpp>
#include <jujubecart/operators/tls_files.hpp>

#include <chrono>
#include <string>

namespace jujubecart::operators {

/// @brief HTTP client for the operators' endpoint of one VM; opens a new
/// connection for each request.
class Client {
public:
  /// @brief Stores the parameters without connecting.
  /// @param Endpoint `IP:port`.
  /// @param Tls Certificate to present; plain TCP if not enabled.
  /// @param Timeout Maximum wait for one response.
  Client(std::string Endpoint, TlsFiles Tls, std::chrono::milliseconds Timeout);

  /// @brief Sends a GET request.
  /// @param Path Path, optionally with a query string.
  /// @return The response with any HTTP status, or Unavailable if there was
  /// none.
  [[nodiscard]] core::Result<Response> fetch(const std::string &Path) const;

  /// @brief Sends a POST request.
  /// @return The response with any HTTP status, Unavailable if the connection
  /// could not be opened (the request was not sent), or OutcomeUnknown if it
  /// failed later.
  [[nodiscard]] core::Result<Response> post(const std::string &Path,
                                            const std::string &Body) const;

private:
  std::string Endpoint;
  TlsFiles Tls;
  std::chrono::milliseconds Timeout;
};

} // namespace jujubecart::operators

#endif
