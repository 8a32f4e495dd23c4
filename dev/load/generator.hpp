#ifndef JUJUBECART_DEV_LOAD_GENERATOR_HPP
#define JUJUBECART_DEV_LOAD_GENERATOR_HPP

#include "load/pool.hpp"
#include "load/results.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <vector>

namespace jujubecart::dev {

/// @brief Sends every request when it is due, whatever happened to others.
class Generator {
public:
  /// @brief Prepares the arrivals.
  Generator(const boost::asio::any_io_executor &Executor,
            const Experiment &Plan);

  /// @brief Runs the experiment until every request has a result.
  [[nodiscard]] boost::asio::awaitable<void> run();

  [[nodiscard]] const std::vector<Arrival> &all() const noexcept { return All; }
  [[nodiscard]] const std::vector<Sample> &samples() const noexcept {
    return Samples;
  }
  [[nodiscard]] const Pool &pool() const noexcept { return Connections; }

  /// @brief Wall clock time of the start in Unix milliseconds.
  [[nodiscard]] double startedMs() const noexcept { return StartedMs; }

private:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  [[nodiscard]] boost::asio::awaitable<void> send(std::uint32_t Index);
  [[nodiscard]] boost::asio::awaitable<void> exchange(Sample &Result);
  [[nodiscard]] boost::asio::awaitable<void> fault(std::size_t Index);
  [[nodiscard]] Request request(const Arrival &Cause) const;
  [[nodiscard]] std::chrono::steady_clock::time_point
  due(const Arrival &Cause) const noexcept {
    return Start + Cause.Due;
  }

  boost::asio::any_io_executor Executor;
  const Experiment &Plan;
  std::vector<Arrival> All;
  std::vector<Sample> Samples;
  Pool Connections;
  std::chrono::steady_clock::time_point Start;
  std::chrono::system_clock::time_point WallStart;
  double StartedMs = 0.0;
};

} // namespace jujubecart::dev

#endif
