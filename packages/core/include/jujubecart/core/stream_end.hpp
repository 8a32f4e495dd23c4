#ifndef JUJUBECART_CORE_STREAM_END_HPP
#define JUJUBECART_CORE_STREAM_END_HPP

#include <boost/asio/ip/tcp.hpp>

namespace jujubecart::core {

/// @brief Whether an end of stream that was read came from an orderly close by
/// the remote side, so that no byte before it is missing.
///
/// False if it is not known, as after a reset behind the close.
/// @param Socket Connection whose last read returned the end of the stream and
/// whose sending side is open.
[[nodiscard]] bool endedInOrder(boost::asio::ip::tcp::socket &Socket) noexcept;

} // namespace jujubecart::core

#endif
