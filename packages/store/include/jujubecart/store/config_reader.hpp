#ifndef JUJUBECART_STORE_CONFIG_READER_HPP
#define JUJUBECART_STORE_CONFIG_READER_HPP

#include <jujubecart/core/config_table.hpp>
#include <jujubecart/core/key_value_store.hpp>
#include <jujubecart/core/sleeper.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>

namespace jujubecart::store {

namespace internal {
class HeadWatch;
}

/// @brief Timing of a @ref ConfigReader.
struct ConfigReaderSettings {
  /// One pending watch ends after this time and is renewed.
  std::chrono::milliseconds WatchTimeout{20000};
  /// Bounds the reads that follow a changed head.
  std::chrono::milliseconds ReadTimeout{2000};
  std::chrono::milliseconds FirstBackoff{50};
  std::chrono::milliseconds LongestBackoff{2000};
};

/// @brief What a reader works with; all references must outlive it.
struct ConfigReaderParts {
  core::KeyValueStore &Store;
  core::ConfigTable &Table;
  const core::Clock &Time;
  core::Sleeper &Delays;
  /// Source of jitter; called from any thread.
  std::function<std::uint64_t()> Random;
};

/// @brief Puts the configuration of the store in force on this VM.
class ConfigReader {
public:
  /// @brief Creates a reader that does nothing yet.
  /// @param Executor Runs the watch.
  ConfigReader(boost::asio::any_io_executor Executor, ConfigReaderParts Parts,
               ConfigReaderSettings Settings = {});

  /// @brief Stops watching.
  ~ConfigReader();
  ConfigReader(const ConfigReader &) = delete;
  ConfigReader &operator=(const ConfigReader &) = delete;

  /// @brief Reads the head and the changed services once and applies them.
  /// @return Revision of the store, 0 if it has none, or the store's error.
  [[nodiscard]] core::Awaitable<core::Result<core::Revision>>
  read(core::TimePoint Deadline);

  /// @brief Watches the head until stopped; does nothing if already watching.
  void startWatching();

  /// @brief Cancels the pending watch.
  void stopWatching() noexcept;

  [[nodiscard]] bool watching() const noexcept;

private:
  const boost::asio::any_io_executor Executor;
  const ConfigReaderParts Parts;
  const ConfigReaderSettings Settings;
  mutable std::mutex Mutex;
  std::shared_ptr<internal::HeadWatch> Active;
};

} // namespace jujubecart::store

#endif
