#ifndef JUJUBECART_PEERS_TLS_CONTEXT_HPP
#define JUJUBECART_PEERS_TLS_CONTEXT_HPP

#include <boost/asio/ssl/context.hpp>
#include <memory>
#include <mutex>
#include <string>

namespace jujubecart::peers {

/// @brief Certificates for mutual TLS 1.3; can be reloaded while links are
/// open. Thread-safe.
class TlsContext {
public:
  /// @brief Stores the paths of the PEM files; reload() reads the files.
  TlsContext(std::string CertificateFile, std::string KeyFile,
             std::string CaFile);

  /// @brief Reads the files. New links use their content; open links are not
  /// affected.
  /// @return Empty on success, otherwise the unusable file and the reason; the
  /// previous certificates then stay in use.
  [[nodiscard]] std::string reload();

  /// @brief Context for a new link; nullptr until reload() has succeeded once.
  [[nodiscard]] std::shared_ptr<boost::asio::ssl::context> current() const;

private:
  std::string CertificateFile;
  std::string KeyFile;
  std::string CaFile;
  mutable std::mutex Mutex;
  std::shared_ptr<boost::asio::ssl::context> Context;
};

} // namespace jujubecart::peers

#endif
