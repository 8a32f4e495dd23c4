#include <jujubecart/core/endpoint.hpp>

#include <charconv>

namespace jujubecart::core {

using boost::asio::ip::tcp;

Result<tcp::endpoint> parseEndpoint(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return make_error_code(Error::InvalidArgument);
  std::string_view Host = Text.substr(0, Colon);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  boost::system::error_code IpError;
  const auto Ip = boost::asio::ip::make_address(std::string(Host), IpError);
  std::uint16_t Port = 0;
  const char *const End = Text.data() + Text.size();
  const auto [Last, Code] = std::from_chars(Text.data() + Colon + 1, End, Port);
  if (IpError || Code != std::errc() || Last != End)
    return make_error_code(Error::InvalidArgument);
  return tcp::endpoint(Ip, Port);
}

boost::system::error_code bindSource(tcp::socket &Socket,
                                     const tcp::endpoint &Remote,
                                     const std::string &SourceIp) {
  boost::system::error_code Code;
  if (SourceIp.empty())
    return Code;
  const auto Ip = boost::asio::ip::make_address(SourceIp, Code);
  if (!Code)
    Socket.open(Remote.protocol(), Code);
  if (!Code)
    Socket.bind({Ip, 0}, Code);
  return Code;
}

} // namespace jujubecart::core
