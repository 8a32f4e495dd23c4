#ifndef JUJUBECART_CORE_ENDPOINT_HPP
#define JUJUBECART_CORE_ENDPOINT_HPP

#include <jujubecart/core/error.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>

namespace jujubecart::core {

/// @brief Parses `IP:port`; an IPv6 address may be in brackets.
/// @param Text Address; port 0 is accepted, for listeners.
/// @return The endpoint or Error::InvalidArgument.
[[nodiscard]] Result<boost::asio::ip::tcp::endpoint>
parseEndpoint(std::string_view Text);

/// @brief Opens a socket and binds it to a local IP before it connects.
/// @param Socket Socket that is not open yet.
/// @param Remote Endpoint to connect to later; selects IPv4 or IPv6.
/// @param SourceIp Local IP; if empty, the socket is left unopened and the
/// operating system chooses the address on connect.
[[nodiscard]] boost::system::error_code
bindSource(boost::asio::ip::tcp::socket &Socket,
           const boost::asio::ip::tcp::endpoint &Remote,
           const std::string &SourceIp);

} // namespace jujubecart::core

#endif
