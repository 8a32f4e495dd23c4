#ifndef JUJUBECART_APPS_JUJUBECARTD_DAEMON_API_HPP
#define JUJUBECART_APPS_JUJUBECARTD_DAEMON_API_HPP

#include <jujubecart/callers/server.hpp>
#include <jujubecart/core.hpp>
#include <jujubecart/core/config_freshness.hpp>
#include <jujubecart/operators/api.hpp>
#include <jujubecart/operators/settings.hpp>
#include <jujubecart/peers/peer_node.hpp>
#include <jujubecart/store/ticket_processor.hpp>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace jujubecart::daemon {

/// @brief Components that the operators' endpoints use; all must outlive
/// DaemonApi.
struct ApiEnvironment {
  const operators::Settings &Settings;
  boost::asio::io_context &Io;
  const core::Clock &Time;
  const core::ConfigSource &Config;
  core::EventRing &Events;
  const core::MetricsRegistry &Metrics;
  store::TicketProcessor &Tickets;
  const callers::Server &Callers;
  peers::PeerNode &Peers;
  const std::atomic<bool> &Stopping;
  const std::uint64_t Incarnation;
  /// Nullptr if API keys count at any age of the configuration.
  const core::ConfigFreshness *Freshness = nullptr;
};

/// @brief Implements the operators' endpoints of one VM. Ticket requests block
/// the calling thread, which therefore must not run Io.
class DaemonApi final : public operators::Api {
public:
  explicit DaemonApi(ApiEnvironment Env) : Env(Env) {}

  /// @brief Sets the source of the names of evacuated zones, which must be
  /// thread-safe and outlive this object. Without one there are none.
  void setEvacuatedZones(std::function<std::vector<std::string>()> Source);

  operators::Response submitTicket(const std::string &Text) override;
  operators::Response showTicket(std::uint64_t Number) override;
  operators::Response services() override;
  operators::Response status() override;
  operators::Response timeline(const operators::TimelineQuery &Filter) override;
  operators::Response explain(const operators::ExplainQuery &Query) override;
  operators::Response metrics() override;
  operators::Response readiness() override;

private:
  /// @return Why this VM does not accept callers; empty if it does.
  [[nodiscard]] std::string notReadyReason() const;

  const ApiEnvironment Env;
  /// Guards EvacuatedZones.
  std::mutex ZonesMutex;
  std::function<std::vector<std::string>()> EvacuatedZones;
};

} // namespace jujubecart::daemon

#endif
