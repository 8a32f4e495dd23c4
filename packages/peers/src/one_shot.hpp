#ifndef JUJUBECART_PEERS_SRC_ONE_SHOT_HPP
#define JUJUBECART_PEERS_SRC_ONE_SHOT_HPP

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <jujubecart/core/awaitable.hpp>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

namespace jujubecart::peers::internal {

/// @brief A one-shot promise: any thread sets the value once, one coroutine
/// waits for it. Must be owned by a std::shared_ptr.
template <typename Value>
class OneShot : public std::enable_shared_from_this<OneShot<Value>> {
public:
  /// @brief Sets the value and resumes the waiting coroutine on its executor.
  /// @return False if a value was set before; Item is then dropped.
  bool set(Value Item) {
    std::function<void(Value)> Callback;
    {
      const std::lock_guard Lock(Mutex);
      if (IsSet)
        return false;
      IsSet = true;
      if (!Waiter) {
        Stored = std::move(Item);
        return true;
      }
      Callback = std::exchange(Waiter, nullptr);
    }
    Callback(std::move(Item));
    return true;
  }

  /// @brief Waits for the value; may be called once.
  [[nodiscard]] core::Awaitable<Value> wait() {
    return boost::asio::async_initiate<const boost::asio::use_awaitable_t<> &,
                                       void(Value)>(
        [Self = this->shared_from_this()](auto Handler) {
          Self->registerWaiter(std::move(Handler));
        },
        boost::asio::use_awaitable);
  }

private:
  template <typename Handler> void registerWaiter(Handler Completion) {
    auto SharedHandler = std::make_shared<Handler>(std::move(Completion));
    auto Executor = boost::asio::get_associated_executor(*SharedHandler);
    auto Guard = boost::asio::make_work_guard(Executor);
    const auto Callback = [SharedHandler, Executor, Guard](Value Item) mutable {
      boost::asio::post(Executor,
                        [SharedHandler, Item = std::move(Item)]() mutable {
                          std::move (*SharedHandler)(std::move(Item));
                        });
    };
    std::unique_lock Lock(Mutex);
    if (!IsSet) {
      Waiter = Callback;
      return;
    }
    Value Item = std::move(*Stored);
    Lock.unlock();
    auto Call = Callback;
    Call(std::move(Item));
  }

  std::mutex Mutex;
  bool IsSet = false;
  /// Value that was set before wait() was called.
  std::optional<Value> Stored;
  std::function<void(Value)> Waiter;
};

} // namespace jujubecart::peers::internal

#endif
