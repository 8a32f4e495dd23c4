#ifndef JUJUBECART_CORE_AWAITABLE_HPP
#define JUJUBECART_CORE_AWAITABLE_HPP

#include <boost/asio/awaitable.hpp>

namespace jujubecart::core {

/// @brief Coroutine type of every asynchronous operation.
template <typename T> using Awaitable = boost::asio::awaitable<T>;

} // namespace jujubecart::core

#endif
