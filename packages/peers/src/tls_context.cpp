#include <jujubecart/peers/tls_context.hpp>

#include <openssl/ssl.h>
#include <utility>

namespace jujubecart::peers {

namespace ssl = boost::asio::ssl;

TlsContext::TlsContext(std::string CertificateFile, std::string KeyFile,
                       std::string CaFile)
    : CertificateFile(std::move(CertificateFile)), KeyFile(std::move(KeyFile)),
      CaFile(std::move(CaFile)) {}

std::string TlsContext::reload() {
  auto NewContext = std::make_shared<ssl::context>(ssl::context::tls);
  const auto Describe = [](const char *FileKind, const std::string &File,
                           const boost::system::error_code &Failed) {
    return std::string(FileKind) + " \"" + File + "\": " + Failed.message();
  };
  boost::system::error_code Failed;
  SSL_CTX_set_min_proto_version(NewContext->native_handle(), TLS1_3_VERSION);
  if (NewContext->load_verify_file(CaFile, Failed); Failed)
    return Describe("cannot load CA file", CaFile, Failed);
  if (NewContext->use_certificate_chain_file(CertificateFile, Failed); Failed)
    return Describe("cannot load certificate file", CertificateFile, Failed);
  if (NewContext->use_private_key_file(KeyFile, ssl::context::pem, Failed);
      Failed)
    return Describe("cannot load key file", KeyFile, Failed);
  if (SSL_CTX_check_private_key(NewContext->native_handle()) != 1)
    return "key file \"" + KeyFile + "\" does not match the certificate";
  if (NewContext->set_verify_mode(
          ssl::verify_peer | ssl::verify_fail_if_no_peer_cert, Failed);
      Failed)
    return Describe("cannot enable peer verification with CA file", CaFile,
                    Failed);
  // A resumed session would not check the peer's certificate again, which may
  // have expired in the meantime.
  SSL_CTX_set_session_cache_mode(NewContext->native_handle(),
                                 SSL_SESS_CACHE_OFF);
  SSL_CTX_set_num_tickets(NewContext->native_handle(), 0);
  const std::lock_guard Lock(Mutex);
  Context = std::move(NewContext);
  return {};
}

std::shared_ptr<ssl::context> TlsContext::current() const {
  const std::lock_guard Lock(Mutex);
  return Context;
}

} // namespace jujubecart::peers
