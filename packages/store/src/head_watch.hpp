#ifndef JUJUBECART_STORE_SRC_HEAD_WATCH_HPP
#define JUJUBECART_STORE_SRC_HEAD_WATCH_HPP

#include <jujubecart/store/config_reader.hpp>

#include <atomic>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/strand.hpp>

namespace jujubecart::store::internal {

/// @brief Watch loop of a @ref ConfigReader, from its start until it is
/// stopped.
class HeadWatch : public std::enable_shared_from_this<HeadWatch> {
public:
  HeadWatch(const boost::asio::any_io_executor &Executor,
            ConfigReaderEnvironment Env, ConfigReaderSettings Settings)
      : Strand(Executor), Env(std::move(Env)), Settings(Settings),
        Backoff(Settings.InitialBackoff) {}

  /// @brief Spawns the loop; the pending loop keeps this object alive.
  void start();

  /// @brief Ends the loop and cancels its pending operation; may be called from
  /// any thread.
  void stop() noexcept;

private:
  const boost::asio::strand<boost::asio::any_io_executor> Strand;
  const ConfigReaderEnvironment Env;
  const ConfigReaderSettings Settings;
  boost::asio::cancellation_signal Cancellation;
  std::atomic<bool> Stopped = false;
  /// Maximum delay after the next failure.
  std::chrono::milliseconds Backoff;
  /// Store version of the head that was applied last; 0 if there is none.
  std::uint64_t AppliedVersion = 0;

  [[nodiscard]] core::Awaitable<void> run();
  [[nodiscard]] core::Awaitable<bool> watchOnce();
  [[nodiscard]] core::Awaitable<void> backOff();
};

} // namespace jujubecart::store::internal

#endif
