#ifndef JUJUBECART_CALLERS_SRC_CALLER_LINK_WRITE_HPP
#define JUJUBECART_CALLERS_SRC_CALLER_LINK_WRITE_HPP

#include "caller_link.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace jujubecart::callers::internal {

template <typename Buffers>
core::Awaitable<bool> CallerLink::write(Buffers Data) {
  setTimeoutAt(State->Dependencies.Time.now() + State->Options.WriteTimeout);
  const auto [Code, Count] = co_await boost::asio::async_write(
      Socket, Data, boost::asio::as_tuple(boost::asio::use_awaitable));
  co_return !Code;
}

} // namespace jujubecart::callers::internal

#endif
