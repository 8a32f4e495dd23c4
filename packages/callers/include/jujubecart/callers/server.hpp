#ifndef JUJUBECART_CALLERS_SERVER_HPP
#define JUJUBECART_CALLERS_SERVER_HPP

#include <jujubecart/callers/server_counters.hpp>
#include <jujubecart/callers/server_options.hpp>
#include <jujubecart/callers/stop_schedule.hpp>
#include <jujubecart/core/awaitable.hpp>
#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/config_freshness.hpp>
#include <jujubecart/core/fwd.hpp>
#include <jujubecart/core/http_profile.hpp>
#include <jujubecart/core/request_id.hpp>
#include <jujubecart/decision/retry_budget.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

namespace jujubecart::callers {

namespace internal {
struct ServerState;
} // namespace internal

/// @brief Services that the server calls. Every reference must stay valid until
/// the last caller connection is closed.
struct ServerDependencies {
  const core::Clock &Time;
  const core::ConfigSource &Config;
  core::SlotBroker &Broker;
  core::BackendTransport &Backends;
  core::EventSink &Events;
  /// Limits retries and hedged attempts; shared by all components of this VM
  /// that send such attempts.
  decision::RetryBudget &Retries;
  const core::HttpProfile &Profile = core::nativeHttpProfile();
  /// Up to which instant the known API keys are complete; nullptr if keys are
  /// accepted whatever their age.
  const core::ConfigFreshness *Freshness = nullptr;
};

/// @brief A request that was still in flight at the deadline of a stop.
struct CutOffRequest {
  core::RequestId Id;
  std::string Service;
};

/// @brief Result of Server::stop.
struct StopReport {
  /// Requests that were in flight when the stop began.
  std::uint64_t InFlightAtStop = 0;
  /// Requests that ended after the stop began, including those that arrived
  /// during it; requests that were cut off are not counted.
  std::uint64_t Finished = 0;
  /// Difference between the open connections at the start and at the end.
  std::uint64_t ConnectionsClosed = 0;
  /// Requests whose connection was reset at the deadline.
  std::vector<CutOffRequest> CutOff;
};

/// @brief HTTP server for callers: finds the service of each request, acquires
/// a slot on a backend server, forwards the request and relays the response.
class Server {
public:
  /// @brief Creates a server that does not listen yet.
  Server(boost::asio::any_io_executor Executor, ServerOptions Options,
         ServerDependencies Dependencies);
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;
  ~Server();

  /// @brief Binds, listens and starts accepting connections.
  /// @return The first error of these steps, if any.
  [[nodiscard]] std::error_code
  listen(const boost::asio::ip::tcp::endpoint &Endpoint);

  /// @brief Port that the server listens on; 0 before listen() succeeded.
  [[nodiscard]] std::uint16_t port() const noexcept;

  /// @brief Sends `Connection: close` with every further response, and refuses
  /// requests that cannot be answered before the cut-off; new connections are
  /// still accepted and served.
  void drain(const StopSchedule &Schedule);

  /// @brief Stops accepting connections and waits for the requests in flight.
  /// Those that wait for a slot are refused once they can no longer be answered
  /// before the deadline.
  /// @param Deadline When the connections of the remaining requests are reset.
  [[nodiscard]] core::Awaitable<StopReport> stop(core::TimePoint Deadline);

  /// @brief Current counters; callable from any thread. The values are read
  /// one after another, not as one consistent snapshot.
  [[nodiscard]] ServerCounters counters() const noexcept;

private:
  std::shared_ptr<internal::ServerState> State;
};

} // namespace jujubecart::callers

#endif
