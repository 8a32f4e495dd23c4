#ifndef JUJUBECART_APPS_JUJUBECARTD_DAEMON_HPP
#define JUJUBECART_APPS_JUJUBECARTD_DAEMON_HPP

#include "config_startup.hpp"
#include "daemon_api.hpp"
#include "http_health_prober.hpp"
#include "load_prober.hpp"
#include "loop_delay.hpp"

#include <jujubecart/backends/transport.hpp>
#include <jujubecart/callers/server.hpp>
#include <jujubecart/core.hpp>
#include <jujubecart/decision/local_broker.hpp>
#include <jujubecart/decision/retry_budget.hpp>
#include <jujubecart/inventory/vm_list_reader.hpp>
#include <jujubecart/operators/server.hpp>
#include <jujubecart/operators/settings.hpp>
#include <jujubecart/operators/settings_file.hpp>
#include <jujubecart/peers/peer_node.hpp>
#include <jujubecart/platform.hpp>
#include <jujubecart/store/claim_log.hpp>
#include <jujubecart/store/config_reader.hpp>
#include <jujubecart/store/directory_feed.hpp>
#include <jujubecart/store/http_key_value_store.hpp>
#include <jujubecart/store/ticket_processor.hpp>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <memory>

namespace jujubecart::daemon {

/// @brief Process of one entry VM; owns all components and starts and stops
/// them in order.
class Daemon {
public:
  /// @brief Creates the components; nothing listens yet.
  /// @param InitialSettings Settings that were read from the file.
  /// @param WatchedFile File that is validated again on SIGHUP and when its
  /// content changes.
  Daemon(operators::Settings InitialSettings,
         operators::SettingsFile WatchedFile);

  /// @brief Serves until SIGTERM or SIGINT, then stops gracefully.
  /// @return Exit code of the process.
  [[nodiscard]] int run();

private:
  void listen();
  void waitForStopSignal();
  [[nodiscard]] core::Awaitable<void> shutDown();
  [[nodiscard]] core::SlotBroker &broker() noexcept;
  [[nodiscard]] core::Awaitable<void> maintain();
  [[nodiscard]] core::Awaitable<void> connectToSeeds();
  void waitForReloadSignal();
  [[nodiscard]] core::Awaitable<void> watchSettings();
  void validateSettings() const;
  void startConfiguration();
  [[nodiscard]] const core::HttpProfile &profile() const noexcept;
  /// @brief Pointer to Freshness; nullptr if `directory.revoke` is not set, so
  /// that API keys are accepted whatever their age.
  [[nodiscard]] store::FreshnessRecord *freshness() noexcept;

  const operators::Settings Settings;
  operators::SettingsFile File;
  core::SystemClock Time;
  const std::uint64_t Incarnation;
  core::SystemSleeper Sleeper;
  boost::asio::io_context Io;
  // Registered before anything listens, so that an early SIGTERM also stops
  // gracefully.
  boost::asio::signal_set StopSignals;
  boost::asio::signal_set ReloadSignals;
  core::ConfigTable Config;
  core::EventRing Events;
  core::MetricsRegistry Metrics;
  LoopDelayMonitor LoopDelays;
  store::HttpKeyValueStore Store;
  store::TicketProcessor Tickets;
  store::FreshnessRecord Freshness;
  store::ConfigReader ConfigReader;
  store::ClaimLog Claims;
  decision::LocalBroker LocalBroker;
  HttpHealthProber HttpProber;
  LoadProber PooledProber;
  peers::PeerNode Peers;
  ConfigStartup Startup;
  platform::EntryCodec Codec;
  /// DirectoryStore and Feed are null unless directory mode is enabled.
  std::unique_ptr<platform::StoreClient> DirectoryStore;
  std::unique_ptr<store::DirectoryFeed> Feed;
  /// Null if the settings contain no endpoint of a VM list.
  std::unique_ptr<inventory::VmListReader> VmListPoller;
  backends::ConnectionPool Pool;
  backends::Transport Transport;
  decision::RetryBudget Retries;
  callers::Server Callers;
  std::atomic<bool> Stopping{false};
  DaemonApi Endpoints;
  std::unique_ptr<operators::Server> Operators;
};

} // namespace jujubecart::daemon

#endif
