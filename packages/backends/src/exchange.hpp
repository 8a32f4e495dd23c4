#ifndef JUJUBECART_BACKENDS_SRC_EXCHANGE_HPP
#define JUJUBECART_BACKENDS_SRC_EXCHANGE_HPP

#include <jujubecart/backends/connection_pool.hpp>
#include <jujubecart/core/backend_transport.hpp>
#include <jujubecart/core/http_profile.hpp>

#include <array>

namespace jujubecart::backends::internal {

/// @brief One request and its response on one connection of the pool.
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
    return Length;
  }
  [[nodiscard]] core::Awaitable<core::Result<std::size_t>>
  read(std::span<char> Buffer) override;
  [[nodiscard]] bool complete() const noexcept override { return Complete; }
  [[nodiscard]] bool sent() const noexcept override { return MaybeSent; }
  void abort(core::AbortReason Reason) noexcept override;
  [[nodiscard]] core::CallReport report() const noexcept override;

private:
  [[nodiscard]] core::Awaitable<std::error_code>
  sendRequest(core::ByteSource *Body);
  [[nodiscard]] core::Awaitable<bool> write(std::string_view Prefix,
                                            std::span<const char> Data);
  [[nodiscard]] core::Awaitable<std::error_code> receiveHead();
  [[nodiscard]] core::Awaitable<bool> skipResponse();
  [[nodiscard]] std::error_code acceptHead(const core::ResponseTraits &Traits);
  [[nodiscard]] std::error_code fail(core::Error Code) noexcept;
  void finish() noexcept;

  ConnectionPool &Pool;
  const core::Clock &Time;
  const core::HttpProfile &Profile;
  core::BackendServer Server;
  std::shared_ptr<const core::BackendRequest> Request;
  std::shared_ptr<ConnectControl> Control;
  ConnectionPool::Owned Link;
  Head Response;
  std::optional<std::uint64_t> Length;
  core::TimePoint Started;
  core::CallReport Report;
  std::optional<core::AbortReason> Aborted;
  bool MaybeSent = false;
  bool RequestComplete = false;
  bool SourceFailed = false;
  bool Rejected = false;
  bool Complete = false;
};

} // namespace jujubecart::backends::internal

#endif
