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
  /// Time after which a watch without a change ends and is renewed.
  std::chrono::milliseconds WatchTimeout{20000};
  /// Timeout for reading all services that changed with a new head.
  std::chrono::milliseconds ReadTimeout{2000};
  /// Maximum delay after the first failure of a watch; doubles with each
  /// further failure.
  std::chrono::milliseconds InitialBackoff{50};
  std::chrono::milliseconds MaxBackoff{2000};
};

/// @brief Dependencies of a @ref ConfigReader; all references must outlive it.
struct ConfigReaderEnvironment {
  core::KeyValueStore &Store;
  core::ConfigTable &Table;
  const core::Clock &Time;
  core::Sleeper &Sleeper;
  /// Random source for backoff jitter; called from any thread.
  std::function<std::uint64_t()> Random;
};

/// @brief Reads the configuration from the store and applies it to the
/// configuration table of this VM.
class ConfigReader {
public:
  /// @brief Creates a reader that does nothing until it is called.
  /// @param Executor Runs the watch loop.
  ConfigReader(boost::asio::any_io_executor Executor,
               ConfigReaderEnvironment Env, ConfigReaderSettings Settings = {});

  /// @brief Stops watching.
  ~ConfigReader();
  ConfigReader(const ConfigReader &) = delete;
  ConfigReader &operator=(const ConfigReader &) = delete;

  /// @brief Reads the head and the changed services once and applies them.
  /// @return Revision of the head in the store, 0 if it has no head, Malformed,
  /// or the store's error.
  [[nodiscard]] core::Awaitable<core::Result<core::Revision>>
  read(core::TimePoint Deadline);

  /// @brief Starts to watch the head and to apply each change. Does nothing if
  /// the watch is already running.
  void startWatching();

  /// @brief Cancels the pending watch and ends the watch loop.
  void stopWatching() noexcept;

  [[nodiscard]] bool watching() const noexcept;

private:
  const boost::asio::any_io_executor Executor;
  const ConfigReaderEnvironment Env;
  const ConfigReaderSettings Settings;
  mutable std::mutex Mutex;
  /// Null while not watching.
  std::shared_ptr<internal::HeadWatch> ActiveWatch;
};

} // namespace jujubecart::store

#endif
