#ifndef JUJUBECART_CALLERS_SERVER_HPP
#define JUJUBECART_CALLERS_SERVER_HPP

#include <jujubecart/callers/server_counters.hpp>
#include <jujubecart/callers/server_options.hpp>
#include <jujubecart/core/awaitable.hpp>
#include <jujubecart/core/clock.hpp>
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

/// @brief What the server uses; everything must outlive its connections.
struct ServerDependencies {
  const core::Clock &Time;
  const core::ConfigSource &Config;
  core::SlotBroker &Broker;
  core::BackendTransport &Backends;
  core::EventSink &Events;
  /// Shared by everything on this VM that makes further attempts.
  decision::RetryBudget &Retries;
  const core::HttpProfile &Profile = core::nativeHttpProfile();
};

/// @brief A request that had not been answered when the server stopped.
struct CutOffRequest {
  core::RequestId Id;
  std::string Service;
};

/// @brief How a graceful stop went.
struct StopReport {
  /// Requests that were in flight when the stop began.
  std::uint64_t InFlightAtStop = 0;
  /// Requests answered after the stop began.
  std::uint64_t Finished = 0;
  std::uint64_t ConnectionsClosed = 0;
  std::vector<CutOffRequest> CutOff;
};

/// @brief Serves callers: routes, waits for a slot, forwards, answers.
class Server {
public:
  /// @brief Creates a server that does not listen yet.
  Server(boost::asio::any_io_executor Executor, ServerOptions Options,
         ServerDependencies Uses);
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;
  ~Server();

  /// @brief Binds, listens and starts to accept.
  [[nodiscard]] std::error_code
  listen(const boost::asio::ip::tcp::endpoint &Where);

  /// @brief Port that the server listens on.
  [[nodiscard]] std::uint16_t port() const noexcept;

  /// @brief Tells callers with every response to close their connection;
  /// new connections are still served.
  void drain() noexcept;

  /// @brief Stops accepting and waits for the requests in flight.
  /// @param Deadline When the remaining ones are cut off.
  [[nodiscard]] core::Awaitable<StopReport> stop(core::TimePoint Deadline);

  [[nodiscard]] ServerCounters counters() const noexcept;

private:
  std::shared_ptr<internal::ServerState> State;
};

} // namespace jujubecart::callers

#endif
