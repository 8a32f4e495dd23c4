#ifndef JUJUBECART_CALLERS_SRC_CALLER_LINK_HPP
#define JUJUBECART_CALLERS_SRC_CALLER_LINK_HPP

#include "server_state.hpp"

#include <jujubecart/core/http_reader.hpp>

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>

namespace jujubecart::callers::internal {

/// @brief Receives the events of a connection while a request is served.
class LinkListener {
public:
  virtual ~LinkListener() = default;

  /// @brief The instant set with CallerLink::setTimeoutAt has passed.
  virtual void onTimeout() = 0;

  /// @brief The caller closed its connection; see CallerLink::watchForClose.
  virtual void onCallerClosed() = 0;

  /// @brief A stop of the server has begun; ServerState has its schedule.
  virtual void onStop() = 0;

  /// @brief The deadline of a server stop has passed; the request must end now.
  virtual void onCutOff() = 0;
};

/// @brief Connection of one caller. Used on the strand of its socket only,
/// except for setInFlight() and inFlight().
class CallerLink : public std::enable_shared_from_this<CallerLink> {
public:
  CallerLink(std::shared_ptr<ServerState> State,
             boost::asio::ip::tcp::socket Caller);
  CallerLink(const CallerLink &) = delete;
  CallerLink &operator=(const CallerLink &) = delete;
  ~CallerLink();

  /// @brief Serves requests one after another until the connection ends.
  [[nodiscard]] core::Awaitable<void> run();

  /// @brief Answers 503 because of too many connections, and closes.
  [[nodiscard]] core::Awaitable<void> refuse();

  /// @brief Sets the single timeout of the connection, replacing an earlier
  /// one.
  void setTimeoutAt(core::TimePoint When);

  /// @brief From now on, reports to the listener when the caller closes.
  void watchForClose();

  /// @brief Whether the caller has closed its connection, or its sending side,
  /// or the connection was reset. Asks the kernel, so the answer does not
  /// depend on how far the event loop is behind.
  [[nodiscard]] bool callerClosed() noexcept;

  /// @brief Time since the last segment of the caller arrived, which is the
  /// age of its close after callerClosed(); nothing if the system cannot tell.
  [[nodiscard]] std::optional<std::chrono::milliseconds>
  sinceLastSegment() noexcept;

  /// @brief Writes all buffers within the write timeout.
  /// @return Whether it succeeded.
  template <typename Buffers>
  [[nodiscard]] core::Awaitable<bool> write(Buffers Data);

  /// @brief Cancels pending reads.
  void cancelRead() noexcept;

  /// @brief Closes the connection with a TCP reset, so that the caller cannot
  /// take a truncated response for a complete one.
  void reset() noexcept;

  /// @brief Closes the connection if it waits for its next request.
  void closeIfIdle() noexcept;

  /// @brief Tells the request being served, if any, that the server stops.
  void beginStop() noexcept;

  /// @brief Ends the connection at the deadline of a server stop, with its
  /// request if there is one.
  void cutOff() noexcept;

  [[nodiscard]] boost::asio::ip::tcp::socket &socket() noexcept {
    return Socket;
  }
  [[nodiscard]] core::HttpReader<true> &reader() noexcept { return Reader; }
  [[nodiscard]] bool timedOut() const noexcept { return TimedOut; }
  void clearTimeout() noexcept { TimedOut = false; }
  /// @brief Sets the receiver of the connection's events.
  /// @param Target Must stay valid until replaced; nullptr removes it.
  void listen(LinkListener *Target) noexcept { Listener = Target; }
  /// @brief Hash of the caller's IP address; 0 if unknown.
  [[nodiscard]] std::uint64_t callerAddressHash() const noexcept {
    return CallerAddressHash;
  }

  /// @brief Request being served, copied for Server::stop on another thread.
  struct InFlightRequest {
    core::RequestId Id;
    std::string Service;
  };
  /// @brief Sets the request being served; empty between requests.
  void setInFlight(std::optional<InFlightRequest> Request);
  [[nodiscard]] std::optional<InFlightRequest> inFlight() const;

private:
  [[nodiscard]] core::Awaitable<bool> serveOne();
  [[nodiscard]] core::Awaitable<void> linger();
  void startTimer(core::TimePoint When);
  void onTimer();
  void onReadable();
  void onWatchEvent();

  std::shared_ptr<ServerState> State;
  boost::asio::ip::tcp::socket Socket;
  core::HttpReader<true> Reader;
  boost::asio::steady_timer Timer;
  /// Until the next look for a close behind bytes that nobody reads yet.
  boost::asio::steady_timer CloseCheck;
  /// Max if no timeout is set.
  core::TimePoint TimeoutAt = core::TimePoint::max();
  /// When Timer fires, which may be before TimeoutAt; max if it is not running.
  core::TimePoint TimerExpiry = core::TimePoint::max();
  LinkListener *Listener = nullptr;
  std::uint64_t CallerAddressHash = 0;
  /// Whether a wait for readability of the socket, or CloseCheck, is pending.
  bool ReadableWaitPending = false;
  /// Whether a close by the caller is reported to the listener.
  bool ReportClose = false;
  bool TimedOut = false;
  /// Whether the connection waits for its next request.
  bool Idle = false;
  /// Since when it has waited.
  core::TimePoint IdleSince;
  /// Whether cutOff() was called.
  bool CutOff = false;
  /// Guards InFlight.
  mutable std::mutex InFlightMutex;
  std::optional<InFlightRequest> InFlight;

  friend class Call;
};

} // namespace jujubecart::callers::internal

#include "caller_link_write.hpp"

#endif
