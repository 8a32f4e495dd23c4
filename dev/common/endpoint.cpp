#include "common/endpoint.hpp"

#include <boost/asio/io_context.hpp>
#include <charconv>
#include <stdexcept>

namespace jujubecart::dev {

using boost::asio::ip::tcp;

tcp::endpoint parseEndpoint(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  std::uint16_t Port = 0;
  boost::system::error_code Code;
  if (Colon != std::string::npos) {
    const char *const End = Text.data() + Text.size();
    const auto [ParseEnd, PortCode] =
        std::from_chars(Text.data() + Colon + 1, End, Port);
    const auto Address =
        boost::asio::ip::make_address(Text.substr(0, Colon), Code);
    if (!Code && PortCode == std::errc() && ParseEnd == End)
      return {Address, Port};
  }
  throw std::invalid_argument("expected IP:port, found \"" + Text + "\"");
}

std::string formatEndpoint(const tcp::endpoint &Endpoint) {
  return Endpoint.address().to_string() + ":" + std::to_string(Endpoint.port());
}

tcp::acceptor listen(boost::asio::io_context &Context,
                     const tcp::endpoint &Endpoint) {
  tcp::acceptor Acceptor(Context);
  Acceptor.open(Endpoint.protocol());
  Acceptor.set_option(tcp::acceptor::reuse_address(true));
  Acceptor.bind(Endpoint);
  Acceptor.listen(1024);
  return Acceptor;
}

} // namespace jujubecart::dev
