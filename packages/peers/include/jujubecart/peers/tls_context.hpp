#ifndef JUJUBECART_PEERS_TLS_CONTEXT_HPP
#define JUJUBECART_PEERS_TLS_CONTEXT_HPP

#include <boost/asio/ssl/context.hpp>
#include <memory>
#include <mutex>
#include <string>

namespace jujubecart::peers {

/// @brief Certificates for mutual TLS, replaceable while links are open.
class TlsContext {
public:
  /// @brief Names the PEM files; reload() reads them.
  TlsContext(std::string CertificateFile, std::string KeyFile,
             std::string CaFile);

  /// @brief Reads the files; later links use them, open ones stay.
  /// @return Empty, or which file is unusable and why; the previous
  /// certificates then stay in use.
  [[nodiscard]] std::string reload();

  /// @brief Context for a new link, or nullptr before the first success.
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
