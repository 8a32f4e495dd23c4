#ifndef JUJUBECART_OPERATORS_CLIENT_HPP
#define JUJUBECART_OPERATORS_CLIENT_HPP

#include <jujubecart/core/error.hpp>
#include <jujubecart/operators/api.hpp>
#include <jujubecart/operators/tls_files.hpp>

#include <chrono>
#include <string>

namespace jujubecart::operators {

/// @brief Calls the operators' endpoint of one VM; one connection per call.
class Client {
public:
  /// @brief Stores the address; nothing is connected yet.
  /// @param Endpoint `IP:port`.
  /// @param Tls Certificate to present, if enabled.
  /// @param Limit Longest wait for one answer.
  Client(std::string Endpoint, TlsFiles Tls, std::chrono::milliseconds Limit);

  /// @brief Sends GET.
  /// @return The answer, or Unavailable.
  [[nodiscard]] core::Result<Answer> fetch(const std::string &Path) const;

  /// @brief Sends POST.
  /// @return The answer, Unavailable if it was certainly not sent, or
  /// OutcomeUnknown.
  [[nodiscard]] core::Result<Answer> post(const std::string &Path,
                                          const std::string &Body) const;

private:
  std::string Endpoint;
  TlsFiles Tls;
  std::chrono::milliseconds Limit;
};

} // namespace jujubecart::operators

#endif
