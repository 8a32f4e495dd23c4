#ifndef JUJUBECART_CORE_AWAITABLE_HPP
#define JUJUBECART_CORE_AWAITABLE_HPP

#include <boost/asio/awaitable.hpp>

namespace jujubecart::core {

/// @brief Return type of coroutines; they run when awaited or spawned.
template <typename T> using Awaitable = boost::asio::awaitable<T>;

} // namespace jujubecart::core

#endif
