#ifndef JUJUBECART_OPERATORS_SERVER_HPP
#define JUJUBECART_OPERATORS_SERVER_HPP

#include <jujubecart/operators/api.hpp>
#include <jujubecart/operators/tls_files.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace jujubecart::operators {

/// @brief HTTP server for operators and the platform's readiness check.
class Server {
public:
  /// @brief Listens and serves on its own threads; throws if it cannot.
  /// @param Address IP address.
  /// @param Port TCP port.
  /// @param Tls Certificates; clients must present one if enabled.
  /// @param Endpoints Must outlive the server.
  Server(const std::string &Address, std::uint16_t Port, const TlsFiles &Tls,
         Api &Endpoints);
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  /// @brief Stops serving and joins the threads.
  ~Server();

private:
  class Implementation;
  std::unique_ptr<Implementation> Internals;
};

} // namespace jujubecart::operators

#endif
