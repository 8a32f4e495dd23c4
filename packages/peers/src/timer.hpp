#ifndef JUJUBECART_PEERS_SRC_TIMER_HPP
#define JUJUBECART_PEERS_SRC_TIMER_HPP

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

namespace jujubecart::peers::internal {

/// @brief Creates a timer with its own strand, on which its handlers run.
[[nodiscard]] boost::asio::steady_timer
makeSerialTimer(const boost::asio::any_io_executor &Executor);

/// @brief Cancels a timer's pending wait asynchronously; safe from any thread.
/// @param Timer Must exist until its executor has run the cancellation.
void cancelLater(boost::asio::steady_timer &Timer);

} // namespace jujubecart::peers::internal

#endif
