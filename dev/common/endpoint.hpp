#ifndef JUJUBECART_DEV_COMMON_ENDPOINT_HPP
#define JUJUBECART_DEV_COMMON_ENDPOINT_HPP

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace jujubecart::dev {

/// @brief Parses `IP:port`; throws std::invalid_argument for anything else.
[[nodiscard]] boost::asio::ip::tcp::endpoint
parseEndpoint(const std::string &Text);

/// @brief Formats as `IP:port`.
[[nodiscard]] std::string
endpointText(const boost::asio::ip::tcp::endpoint &Endpoint);

/// @brief Opens a listening socket; port 0 picks a free one.
[[nodiscard]] boost::asio::ip::tcp::acceptor
listen(boost::asio::io_context &Context,
       const boost::asio::ip::tcp::endpoint &Endpoint);

} // namespace jujubecart::dev

#endif
