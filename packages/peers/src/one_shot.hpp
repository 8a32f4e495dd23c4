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

/// @brief A value that one coroutine waits for and any thread sets once.
template <typename Value>
class OneShot : public std::enable_shared_from_this<OneShot<Value>> {
public:
  /// @brief Sets the value and resumes the waiting coroutine on its executor.
  /// @return Whether this was the first value.
  bool set(Value Item) {
    std::function<void(Value)> Then;
    {
      const std::lock_guard Lock(Mutex);
      if (Done)
        return false;
      Done = true;
      if (!Resume) {
        Stored = std::move(Item);
        return true;
      }
      Then = std::exchange(Resume, nullptr);
    }
    Then(std::move(Item));
    return true;
  }

  /// @brief Waits for the value; at most one call.
  [[nodiscard]] core::Awaitable<Value> wait() {
    return boost::asio::async_initiate<const boost::asio::use_awaitable_t<> &,
                                       void(Value)>(
        [Self = this->shared_from_this()](auto Handler) {
          Self->attach(std::move(Handler));
        },
        boost::asio::use_awaitable);
  }

private:
  template <typename Handler> void attach(Handler Receiver) {
    auto Shared = std::make_shared<Handler>(std::move(Receiver));
    auto Executor = boost::asio::get_associated_executor(*Shared);
    auto Guard = boost::asio::make_work_guard(Executor);
    const auto Then = [Shared, Executor, Guard](Value Item) mutable {
      boost::asio::post(Executor, [Shared, Item = std::move(Item)]() mutable {
        std::move (*Shared)(std::move(Item));
      });
    };
    std::unique_lock Lock(Mutex);
    if (!Done) {
      Resume = Then;
      return;
    }
    Value Item = std::move(*Stored);
    Lock.unlock();
    auto Call = Then;
    Call(std::move(Item));
  }

  std::mutex Mutex;
  bool Done = false;
  std::optional<Value> Stored;
  std::function<void(Value)> Resume;
};

} // namespace jujubecart::peers::internal

#endif
