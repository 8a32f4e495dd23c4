#ifndef JUJUBECART_DEV_COMMON_ENDPOINT_HPP
#define JUJUBECART_DEV_COMMON_ENDPOINT_HPP

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace jujubecart::dev {

/// @brief Parses `IP:port`; throws std::invalid_argument for anything else.
[[nodiscard]] boost::asio::ip::tcp::endpoint
parseEndpoint(const std::string &Text);

/// @brief Formats an endpoint as `IP:port`; reverses @ref parseEndpoint.
[[nodiscard]] std::string
formatEndpoint(const boost::asio::ip::tcp::endpoint &Endpoint);

/// @brief Opens a listening TCP socket with address reuse; port 0 picks a free
/// port. Throws boost::system::system_error if the address is in use.
[[nodiscard]] boost::asio::ip::tcp::acceptor
listen(boost::asio::io_context &Context,
       const boost::asio::ip::tcp::endpoint &Endpoint);

} // namespace jujubecart::dev

#endif
