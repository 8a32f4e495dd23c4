#ifndef JUJUBECART_DEV_LOAD_GENERATOR_HPP
#define JUJUBECART_DEV_LOAD_GENERATOR_HPP

#include "load/pool.hpp"
#include "load/results.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <vector>

namespace jujubecart::dev {

/// @brief Open-loop load generator: sends every request when it is due, even
/// while earlier ones are still waiting for a response.
class Generator {
public:
  /// @brief Generates the arrivals; nothing is sent before @ref run.
  /// @param Plan Must outlive the generator.
  Generator(const boost::asio::any_io_executor &Executor,
            const Experiment &Plan);

  /// @brief Sends all requests, injects the faults and returns when every
  /// request has a result.
  [[nodiscard]] boost::asio::awaitable<void> run();

  [[nodiscard]] const std::vector<Arrival> &arrivals() const noexcept {
    return Arrivals;
  }
  [[nodiscard]] const std::vector<CallResult> &results() const noexcept {
    return Results;
  }
  [[nodiscard]] const Pool &pool() const noexcept { return Connections; }

  /// @brief Wall clock time of the start in Unix milliseconds.
  [[nodiscard]] double startedMs() const noexcept { return StartedMs; }

private:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  [[nodiscard]] boost::asio::awaitable<void> sendRequest(std::uint32_t Index);
  [[nodiscard]] boost::asio::awaitable<void> exchange(CallResult &Result);
  [[nodiscard]] boost::asio::awaitable<void> injectFault(std::size_t Index);
  [[nodiscard]] Request makeRequest(const Arrival &Call) const;
  [[nodiscard]] std::chrono::steady_clock::time_point
  dueTime(const Arrival &Call) const noexcept {
    return Start + Call.Due;
  }

  boost::asio::any_io_executor Executor;
  const Experiment &Plan;
  std::vector<Arrival> Arrivals;
  std::vector<CallResult> Results;
  Pool Connections;
  std::chrono::steady_clock::time_point Start;
  std::chrono::system_clock::time_point WallStart;
  double StartedMs = 0.0;
};

} // namespace jujubecart::dev

#endif
