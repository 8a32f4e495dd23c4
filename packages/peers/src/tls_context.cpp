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
  auto Fresh = std::make_shared<ssl::context>(ssl::context::tls);
  const auto Describe = [](const char *What, const std::string &File,
                           const boost::system::error_code &Failed) {
    return std::string(What) + " \"" + File + "\": " + Failed.message();
  };
  boost::system::error_code Failed;
  SSL_CTX_set_min_proto_version(Fresh->native_handle(), TLS1_3_VERSION);
  if (Fresh->load_verify_file(CaFile, Failed); Failed)
    return Describe("CA file", CaFile, Failed);
  if (Fresh->use_certificate_chain_file(CertificateFile, Failed); Failed)
    return Describe("certificate file", CertificateFile, Failed);
  if (Fresh->use_private_key_file(KeyFile, ssl::context::pem, Failed); Failed)
    return Describe("key file", KeyFile, Failed);
  if (SSL_CTX_check_private_key(Fresh->native_handle()) != 1)
    return "key file \"" + KeyFile + "\" does not match the certificate";
  if (Fresh->set_verify_mode(
          ssl::verify_peer | ssl::verify_fail_if_no_peer_cert, Failed);
      Failed)
    return Describe("verification of", CaFile, Failed);
  // Resumption would skip the check of a certificate that has since expired.
  SSL_CTX_set_session_cache_mode(Fresh->native_handle(), SSL_SESS_CACHE_OFF);
  SSL_CTX_set_num_tickets(Fresh->native_handle(), 0);
  const std::lock_guard Lock(Mutex);
  Context = std::move(Fresh);
  return {};
}

std::shared_ptr<ssl::context> TlsContext::current() const {
  const std::lock_guard Lock(Mutex);
  return Context;
}

} // namespace jujubecart::peers
