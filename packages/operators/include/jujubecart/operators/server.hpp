#ifndef JUJUBECART_OPERATORS_SERVER_HPP
#define JUJUBECART_OPERATORS_SERVER_HPP

#include <jujubecart/operators/api.hpp>
#include <jujubecart/operators/tls_files.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace jujubecart::operators {

/// @brief HTTP server for operators and for the platform's readiness check.
class Server {
public:
  /// @brief Listens and serves on its own threads; throws if it cannot listen.
  /// @param Address IP address to listen on.
  /// @param Tls Certificates for mutual TLS; if enabled, clients must present
  /// a certificate.
  /// @param Endpoints Request handlers; must outlive the server.
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
