#ifndef JUJUBECART_BACKENDS_SRC_EXCHANGE_HPP
#define JUJUBECART_BACKENDS_SRC_EXCHANGE_HPP

#include <jujubecart/backends/connection_pool.hpp>
#include <jujubecart/core/backend_transport.hpp>
#include <jujubecart/core/http_profile.hpp>

#include <array>

namespace jujubecart::backends::internal {

/// @brief One request and its response on one connection of the pool. Closes
/// the connection on destruction if the response is incomplete.
class Exchange final : public core::BackendExchange {
public:
  Exchange(ConnectionPool &Pool, const core::Clock &Time,
           const core::HttpProfile &Profile, core::BackendServer Server,
           std::shared_ptr<const core::BackendRequest> Request)
      : Pool(Pool), Time(Time), Profile(Profile), Server(std::move(Server)),
        Request(std::move(Request)) {}
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;
  ~Exchange() override;

  [[nodiscard]] core::Awaitable<std::error_code>
  open(core::ByteSource *Body) override;
  [[nodiscard]] const Head &head() const noexcept override { return Response; }
  [[nodiscard]] std::optional<std::uint64_t>
  contentLength() const noexcept override {
    return ResponseLength;
  }
  [[nodiscard]] core::Awaitable<core::Result<std::size_t>>
  read(std::span<char> Buffer) override;
  [[nodiscard]] bool complete() const noexcept override { return Complete; }
  [[nodiscard]] bool sent() const noexcept override { return MaybeSent; }
  void abort(core::AbortReason Reason) noexcept override;
  [[nodiscard]] core::CallReport report() const noexcept override;

private:
  /// @brief Takes an idle connection on which an order can be sent, after a
  /// health request if no response arrived on it recently.
  /// @return Nullptr if a new connection is needed.
  [[nodiscard]] core::Awaitable<ConnectionPool::ConnectionPtr> reuseForOrder();
  /// @return Whether all of the health request was sent.
  [[nodiscard]] bool sendHealthRequest(backends::Connection &Item) const;
  /// @brief Whether a response has the id of a request; the responses to health
  /// requests, which are sent without one, have none.
  [[nodiscard]] bool hasRequestId(const Head &Message) const {
    // No request has this id, so that it differs from any in the response.
    return Profile.readResponse(Message, "none").RequestIdMismatch;
  }
  /// @brief Sends a health request and waits for its response.
  /// @return Whether the connection works.
  [[nodiscard]] core::Awaitable<bool> verify(backends::Connection &Item);
  /// @brief Sends the head and the body. Succeeds also if the server stopped
  /// reading, because it may have sent a response before that.
  [[nodiscard]] core::Awaitable<std::error_code>
  sendRequest(core::ByteSource *Body);
  /// @brief Sends a prefix and body data, the data as one chunk if the body is
  /// chunked.
  /// @return Whether all of it was sent.
  [[nodiscard]] core::Awaitable<bool> write(std::string_view Prefix,
                                            std::span<const char> Data);
  /// @brief Sends the rest of the body up to its end, or until the server
  /// sends something.
  /// @param UnsentHead Sent before the body.
  [[nodiscard]] core::Awaitable<std::error_code>
  sendBody(core::ByteSource &Body, std::string_view UnsentHead);
  /// @brief Whether bytes of the server can be read without waiting.
  [[nodiscard]] bool hasInput() const;
  /// @brief Reads heads up to that of the final response to this request;
  /// goes on sending the body after a response that is skipped.
  [[nodiscard]] core::Awaitable<std::error_code>
  receiveHead(core::ByteSource *Body);
  /// @brief Reads and discards the body of a response to another request.
  /// @return Whether the connection can still be used.
  [[nodiscard]] core::Awaitable<bool> skipResponse(backends::Connection &Item);
  /// @brief Checks the head and keeps what report() and head() return.
  [[nodiscard]] std::error_code acceptHead(const core::ResponseTraits &Traits);
  /// @brief Ends the exchange with an error and closes its connection.
  /// @return The error, as std::error_code.
  [[nodiscard]] std::error_code fail(core::Error Code) noexcept;
  /// @brief Ends a complete response: returns the connection to the pool if it
  /// can be reused, otherwise closes it.
  void finish() noexcept;

  ConnectionPool &Pool;
  const core::Clock &Time;
  const core::HttpProfile &Profile;
  core::BackendServer Server;
  std::shared_ptr<const core::BackendRequest> Request;
  std::shared_ptr<PendingAcquire> Pending;
  ConnectionPool::ConnectionPtr Connection;
  Head Response;
  /// Length of the response body in bytes; nothing if it is not known.
  std::optional<std::uint64_t> ResponseLength;
  /// When the connection was available, before the first byte was sent.
  core::TimePoint Started;
  core::CallReport Report;
  std::optional<core::AbortReason> Aborted;
  /// Bytes of the request that were sent and of the response that were read.
  std::uint64_t BytesSent = 0;
  std::uint64_t BytesRead = 0;
  /// Bytes of the request may have reached the server.
  bool MaybeSent = false;
  /// Nothing was sent because Request->MaySend forbade it.
  bool Withheld = false;
  /// The whole request was sent.
  bool RequestComplete = false;
  /// Part of the body is not sent yet, because the server sent something.
  bool BodyPaused = false;
  /// The body of the request could not be read from its source.
  bool BodySourceFailed = false;
  /// The server stated that it did not run the request.
  bool Rejected = false;
  /// The whole response was read.
  bool Complete = false;
};

} // namespace jujubecart::backends::internal

#endif
