#ifndef JUJUBECART_APPS_JUJUBECARTD_DAEMON_API_HPP
#define JUJUBECART_APPS_JUJUBECARTD_DAEMON_API_HPP

#include <jujubecart/callers/server.hpp>
#include <jujubecart/core.hpp>
#include <jujubecart/operators/api.hpp>
#include <jujubecart/operators/settings.hpp>
#include <jujubecart/peers/peer_node.hpp>
#include <jujubecart/store/ticket_processor.hpp>

#include <atomic>
#include <boost/asio/io_context.hpp>

namespace jujubecart::daemon {

/// @brief What the operators' endpoints read and use; must outlive them.
struct ApiParts {
  const operators::Settings &All;
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
};

/// @brief Operators' endpoints of one VM.
class DaemonApi final : public operators::Api {
public:
  explicit DaemonApi(ApiParts Parts) : Parts(Parts) {}

  operators::Answer submitTicket(const std::string &Text) override;
  operators::Answer showTicket(std::uint64_t Number) override;
  operators::Answer services() override;
  operators::Answer status() override;
  operators::Answer timeline(const operators::Query &Filter) override;
  operators::Answer metrics() override;
  operators::Answer readiness() override;

private:
  [[nodiscard]] std::string notReadyReason() const;

  const ApiParts Parts;
};

} // namespace jujubecart::daemon

#endif
