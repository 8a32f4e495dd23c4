#ifndef JUJUBECART_TESTS_STORE_RUN_AWAITABLE_HPP
#define JUJUBECART_TESTS_STORE_RUN_AWAITABLE_HPP

#include <jujubecart/core/awaitable.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <optional>
#include <utility>

namespace jujubecart::tests {

/// @brief Runs a context until a coroutine has finished.
/// @return The result of the coroutine; its exception is rethrown.
template <typename Value>
Value runAwaitable(boost::asio::io_context &Context,
                   core::Awaitable<Value> Work) {
  std::optional<Value> Result;
  std::exception_ptr Failure;
  boost::asio::co_spawn(Context, std::move(Work),
                        [&](std::exception_ptr Exception, Value Finished) {
                          Failure = std::move(Exception);
                          Result = std::move(Finished);
                        });
  while (!Result && Context.run_one() > 0) {
  }
  if (Failure)
    std::rethrow_exception(Failure);
  return std::move(Result).value();
}

} // namespace jujubecart::tests

#endif
