#ifndef JUJUBECART_STORE_SRC_HEAD_WATCH_HPP
#define JUJUBECART_STORE_SRC_HEAD_WATCH_HPP

#include <jujubecart/store/config_reader.hpp>

#include <atomic>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/strand.hpp>

namespace jujubecart::store::internal {

/// @brief One run of the watch loop, from start to stop.
class HeadWatch : public std::enable_shared_from_this<HeadWatch> {
public:
  HeadWatch(const boost::asio::any_io_executor &Executor,
            ConfigReaderParts Parts, ConfigReaderSettings Settings)
      : Strand(Executor), Parts(std::move(Parts)), Settings(Settings),
        Backoff(Settings.FirstBackoff) {}

  /// @brief Spawns the loop, which keeps this object alive.
  void start();

  /// @brief Ends the loop and cancels what it waits for.
  void stop() noexcept;

private:
  const boost::asio::strand<boost::asio::any_io_executor> Strand;
  const ConfigReaderParts Parts;
  const ConfigReaderSettings Settings;
  boost::asio::cancellation_signal Cancel;
  std::atomic<bool> Stopped = false;
  std::chrono::milliseconds Backoff;
  /// Version of the last head that was applied.
  std::uint64_t Seen = 0;

  [[nodiscard]] core::Awaitable<void> run();
  [[nodiscard]] core::Awaitable<bool> step();
  [[nodiscard]] core::Awaitable<void> backOff();
};

} // namespace jujubecart::store::internal

#endif
