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

/// @brief Hears about time and the caller while a request is served.
class LinkListener {
public:
  virtual ~LinkListener() = default;

  /// @brief The instant set with CallerLink::setDue has come.
  virtual void onDue() = 0;

  /// @brief The caller closed its connection.
  virtual void onDeparted() = 0;

  /// @brief The server stops and cannot wait any longer.
  virtual void onCutOff() = 0;
};

/// @brief Connection of one caller; used on its strand only.
class CallerLink : public std::enable_shared_from_this<CallerLink> {
public:
  CallerLink(std::shared_ptr<ServerState> State,
             boost::asio::ip::tcp::socket Caller);
  CallerLink(const CallerLink &) = delete;
  CallerLink &operator=(const CallerLink &) = delete;
  ~CallerLink();

  /// @brief Serves requests until the connection ends.
  [[nodiscard]] core::Awaitable<void> run();

  /// @brief Answers 503 and closes: there are too many connections.
  [[nodiscard]] core::Awaitable<void> refuse();

  /// @brief Sets the only pending timeout, replacing an earlier one.
  void setDue(core::TimePoint When);

  /// @brief Reports a close by the caller to the listener from now on.
  void watchDeparture();

  /// @brief Writes everything within the write timeout.
  /// @return Whether it succeeded.
  template <typename Buffers>
  [[nodiscard]] core::Awaitable<bool> write(Buffers Data);

  /// @brief Ends pending reads.
  void cancelRead() noexcept;

  /// @brief Resets the connection, so that a response under way cannot be
  /// taken for a complete one.
  void reset() noexcept;

  /// @brief Ends an idle connection, or one at the end of a stop.
  void endIdle() noexcept;
  void cutOff() noexcept;

  [[nodiscard]] boost::asio::ip::tcp::socket &socket() noexcept {
    return Socket;
  }
  [[nodiscard]] core::HttpReader<true> &reader() noexcept { return Reader; }
  [[nodiscard]] bool timedOut() const noexcept { return TimedOut; }
  void clearTimeout() noexcept { TimedOut = false; }
  void listen(LinkListener *Target) noexcept { Listener = Target; }
  [[nodiscard]] std::uint64_t peerHash() const noexcept { return PeerHash; }

  /// @brief The request in flight, as seen from other threads.
  struct Current {
    core::RequestId Id;
    std::string Service;
  };
  void setCurrent(std::optional<Current> Now);
  [[nodiscard]] std::optional<Current> current() const;

private:
  [[nodiscard]] core::Awaitable<bool> serveOne();
  [[nodiscard]] core::Awaitable<void> linger();
  void arm(core::TimePoint When);
  void onTimer();
  void onReadable();

  std::shared_ptr<ServerState> State;
  boost::asio::ip::tcp::socket Socket;
  core::HttpReader<true> Reader;
  boost::asio::steady_timer Timer;
  core::TimePoint Due = core::TimePoint::max();
  core::TimePoint Armed = core::TimePoint::max();
  LinkListener *Listener = nullptr;
  std::uint64_t PeerHash = 0;
  bool WatchPending = false;
  bool Watching = false;
  bool TimedOut = false;
  bool Idle = false;
  bool CutOff = false;
  mutable std::mutex CurrentMutex;
  std::optional<Current> InFlight;

  friend class Call;
};

} // namespace jujubecart::callers::internal

#include "caller_link_write.hpp"

#endif
