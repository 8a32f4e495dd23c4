#ifndef JUJUBECART_TESTS_PEERS_LOOP_HPP
#define JUJUBECART_TESTS_PEERS_LOOP_HPP

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <chrono>
#include <functional>
#include <jujubecart/core/awaitable.hpp>
#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/event_sink.hpp>
#include <jujubecart/core/log.hpp>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace jujubecart::peers::test {

/// @brief io_context with worker threads of one VM, which can be paused.
class IoThreads {
public:
  explicit IoThreads(int Threads = 2)
      : Guard(boost::asio::make_work_guard(Io)) {
    core::configureLog("test", core::LogLevel::Error);
    for (int At = 0; At < Threads; ++At)
      Workers.emplace_back([this] { Io.run(); });
  }
  ~IoThreads() { stop(); }

  void stop() {
    Io.stop();
    for (std::thread &Worker : Workers)
      Worker.join();
    Workers.clear();
  }

  /// @brief Blocks every worker thread, like a process that is not scheduled.
  void pause(std::chrono::milliseconds Duration) {
    for (std::size_t At = 0; At < Workers.size(); ++At)
      boost::asio::post(Io,
                        [Duration] { std::this_thread::sleep_for(Duration); });
  }

  template <typename Value> Value run(core::Awaitable<Value> Task) {
    return boost::asio::co_spawn(Io, std::move(Task), boost::asio::use_future)
        .get();
  }

  [[nodiscard]] boost::asio::any_io_executor executor() {
    return Io.get_executor();
  }

private:
  boost::asio::io_context Io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard;
  std::vector<std::thread> Workers;
};

/// @brief Event sink that keeps the events for inspection.
class EventRecorder final : public core::EventSink {
public:
  void record(core::Event Item) noexcept override {
    const std::lock_guard Lock(Mutex);
    Items.push_back(std::move(Item));
  }
  [[nodiscard]] std::uint64_t logicalNow() noexcept override {
    return ++Logical;
  }
  void observe(std::uint64_t Remote) noexcept override {
    std::uint64_t Known = Logical;
    while (Known < Remote && !Logical.compare_exchange_weak(Known, Remote)) {
    }
  }
  [[nodiscard]] std::size_t count(const std::string &Kind) {
    const std::lock_guard Lock(Mutex);
    std::size_t Found = 0;
    for (const core::Event &Item : Items)
      Found += Item.Kind == Kind ? 1 : 0;
    return Found;
  }

private:
  std::mutex Mutex;
  std::vector<core::Event> Items;
  std::atomic<std::uint64_t> Logical{0};
};

/// @brief Polls a condition every 2 ms until it holds.
/// @return False if it did not hold within the timeout.
inline bool eventually(
    const std::function<bool()> &Condition,
    std::chrono::milliseconds Timeout = std::chrono::milliseconds(5000)) {
  const auto End = std::chrono::steady_clock::now() + Timeout;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > End)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return true;
}

} // namespace jujubecart::peers::test

#endif
