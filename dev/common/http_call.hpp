#ifndef JUJUBECART_DEV_COMMON_HTTP_CALL_HPP
#define JUJUBECART_DEV_COMMON_HTTP_CALL_HPP

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <string>

namespace jujubecart::dev {

/// @brief Sends one HTTP/1.1 request on a new connection.
/// @param Address `IP:port`.
/// @param Path Request target.
/// @param Body Body of a POST request; empty sends a GET request.
/// @param Timeout Limit for connect, request and response together.
/// @return The body of a 200 response. Any other status, a timeout and a
/// connection error throw an exception derived from std::exception.
[[nodiscard]] boost::asio::awaitable<std::string>
httpCall(std::string Address, std::string Path, std::string Body,
         std::chrono::milliseconds Timeout);

} // namespace jujubecart::dev

#endif
