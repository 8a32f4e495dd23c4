#ifndef JUJUBECART_CORE_ENDPOINT_HPP
#define JUJUBECART_CORE_ENDPOINT_HPP

#include <jujubecart/core/error.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>

namespace jujubecart::core {

/// @brief Parses `IP:port`; IPv6 addresses may stand in brackets.
/// @param Text The address; port 0 is accepted for listeners.
/// @return The endpoint or Error::InvalidArgument.
[[nodiscard]] Result<boost::asio::ip::tcp::endpoint>
parseEndpoint(std::string_view Text);

/// @brief Opens a socket and binds it to a local address before it connects.
/// @param Socket Socket that is not open.
/// @param To Where it will connect.
/// @param Source Local IP; empty leaves the choice to the system.
[[nodiscard]] boost::system::error_code
bindSource(boost::asio::ip::tcp::socket &Socket,
           const boost::asio::ip::tcp::endpoint &To, const std::string &Source);

} // namespace jujubecart::core

#endif
