#ifndef JUJUBECART_DEV_COMMON_HTTP_CALL_HPP
#define JUJUBECART_DEV_COMMON_HTTP_CALL_HPP

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <string>

namespace jujubecart::dev {

/// @brief Sends one request on a new connection.
/// @param Address `IP:port`.
/// @param Path Request target.
/// @param Body Sent with POST; GET if empty.
/// @param Timeout Time for the whole exchange.
/// @return The body of a 200 response; anything else throws.
[[nodiscard]] boost::asio::awaitable<std::string>
httpCall(std::string Address, std::string Path, std::string Body,
         std::chrono::milliseconds Timeout);

} // namespace jujubecart::dev

#endif
