#ifndef JUJUBECART_APPS_JUJUBECARTD_CONFIG_STARTUP_HPP
#define JUJUBECART_APPS_JUJUBECARTD_CONFIG_STARTUP_HPP

#include <jujubecart/core/config_table.hpp>
#include <jujubecart/core/sleeper.hpp>
#include <jujubecart/peers/config_sync.hpp>
#include <jujubecart/store/config_reader.hpp>

#include <atomic>

namespace jujubecart::daemon {

/// @brief Obtains the first configuration after the process has started.
class ConfigStartup {
public:
  /// @brief Stores the references, which must outlive this object.
  ConfigStartup(core::ConfigTable &Table, store::ConfigReader &Reader,
                peers::ConfigSync &Sync, const core::Clock &Time,
                core::Sleeper &Sleeper) noexcept
      : Table(Table), Reader(Reader), Sync(Sync), Time(Time), Sleeper(Sleeper) {
  }

  /// @brief Asks the other VMs for a short time, then reads the store with
  /// retries until a configuration is known or the store has answered that it
  /// has none.
  [[nodiscard]] core::Awaitable<void> run();

  /// @brief Whether run() has ended; callable from any thread.
  [[nodiscard]] bool finished() const noexcept { return Finished; }

private:
  core::ConfigTable &Table;
  store::ConfigReader &Reader;
  peers::ConfigSync &Sync;
  const core::Clock &Time;
  core::Sleeper &Sleeper;
  std::atomic<bool> Finished{false};
};

} // namespace jujubecart::daemon

#endif
