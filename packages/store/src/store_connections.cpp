#include <jujubecart/store/store_connections.hpp>

#include <jujubecart/core/endpoint.hpp>
#include <jujubecart/core/whole_response.hpp>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>

namespace jujubecart::store {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

// Short, so that an endpoint that drops packets leaves time for the next one.
constexpr std::chrono::milliseconds ConnectTimeout{500};

constexpr std::size_t MaxIdleConnections = 16;

// A response may take longer than its deadline while at least so much of it
// arrives in each interval. A large value takes a second on a link of 10
// Mbit/s; a store that sends less than half a megabit a second counts as stuck,
// so that it cannot hold the VM that reads for all.
constexpr std::size_t MinProgressBytes = std::size_t{32} * 1024;
constexpr std::chrono::milliseconds ProgressInterval{500};

// Postpones the deadline of a connection while a response arrives fast enough.
class ProgressDeadline final : public core::ReceiveObserver {
public:
  ProgressDeadline(beast::tcp_stream &Stream, core::TimePoint Deadline)
      : Stream(Stream), Deadline(Deadline) {}

  /// @brief When the first bytes arrived; the epoch before.
  [[nodiscard]] core::TimePoint begunAt() const noexcept { return BegunAt; }

  void onReceived(std::size_t Bytes) override {
    if (BegunAt == core::TimePoint{})
      BegunAt = std::chrono::steady_clock::now();
    Received += Bytes;
    if (Received < MinProgressBytes)
      return;
    Received = 0;
    Deadline =
        std::max(Deadline, std::chrono::steady_clock::now() + ProgressInterval);
    Stream.expires_at(Deadline);
  }

private:
  beast::tcp_stream &Stream;
  core::TimePoint Deadline;
  core::TimePoint BegunAt;
  /// Bytes since the deadline was last set.
  std::size_t Received = 0;
};

// An idle connection must have nothing to read. End of file means that the
// store has closed it; unexpected bytes could be taken for the next response.
bool isReusable(StoreConnection &Connection) {
  auto &Socket = Connection.Stream.socket();
  boost::system::error_code Code;
  Socket.non_blocking(true, Code);
  char Byte = 0;
  Socket.receive(asio::buffer(&Byte, 1), asio::socket_base::message_peek, Code);
  return Code == asio::error::would_block || Code == asio::error::try_again;
}

} // namespace

StoreRequest makeStoreRequest(boost::beast::http::verb Method,
                              const std::string &Target) {
  constexpr unsigned Http11 = 11;
  StoreRequest Message{Method, Target, Http11};
  Message.set(boost::beast::http::field::host, "store");
  Message.keep_alive(true);
  return Message;
}

std::vector<boost::asio::ip::tcp::endpoint>
parseEndpoints(const std::vector<std::string> &Texts) {
  std::vector<boost::asio::ip::tcp::endpoint> Endpoints;
  Endpoints.reserve(Texts.size());
  for (const std::string &Text : Texts)
    Endpoints.push_back(core::parseEndpoint(Text).value());
  return Endpoints;
}

StoreConnections::StoreConnections(
    asio::any_io_executor Executor,
    std::vector<asio::ip::tcp::endpoint> Endpoints)
    : Executor(std::move(Executor)), Endpoints(std::move(Endpoints)) {}

std::shared_ptr<StoreConnection> StoreConnections::takeIdle() {
  const std::lock_guard Lock(Mutex);
  while (!Idle.empty()) {
    auto Connection = std::move(Idle.back());
    Idle.pop_back();
    if (isReusable(*Connection))
      return Connection;
  }
  return nullptr;
}

std::size_t StoreConnections::preferred() {
  const std::lock_guard Lock(Mutex);
  return Preferred;
}

void StoreConnections::returnIdle(std::shared_ptr<StoreConnection> Connection) {
  const std::lock_guard Lock(Mutex);
  if (Idle.size() < MaxIdleConnections)
    Idle.push_back(std::move(Connection));
}

void StoreConnections::skipEndpoint(std::size_t Endpoint) {
  const std::lock_guard Lock(Mutex);
  if (Preferred == Endpoint)
    Preferred = (Endpoint + 1) % Endpoints.size();
}

core::Awaitable<bool>
StoreConnections::connectTo(std::shared_ptr<StoreConnection> Connection,
                            std::size_t Endpoint, core::TimePoint Deadline) {
  co_await asio::this_coro::throw_if_cancelled(false);
  Connection->Stream.expires_at(
      std::min(Deadline, std::chrono::steady_clock::now() + ConnectTimeout));
  const auto [Code] =
      co_await Connection->Stream.async_connect(Endpoints[Endpoint], AsTuple);
  if (!Code)
    Connection->Stream.socket().set_option(asio::ip::tcp::no_delay(true));
  co_return !Code;
}

core::Awaitable<std::shared_ptr<StoreConnection>>
StoreConnections::connect(core::TimePoint Deadline) {
  const std::size_t First = preferred();
  for (std::size_t Offset = 0; Offset < Endpoints.size(); ++Offset) {
    const std::size_t Endpoint = (First + Offset) % Endpoints.size();
    if (std::chrono::steady_clock::now() >= Deadline)
      break;
    auto Connection = makeConnection();
    if (co_await asio::co_spawn(Connection->Stream.get_executor(),
                                connectTo(Connection, Endpoint, Deadline),
                                asio::use_awaitable))
      co_return Connection;
    skipEndpoint(Endpoint);
  }
  co_return nullptr;
}

core::Awaitable<StoreExchange>
StoreConnections::exchange(std::shared_ptr<StoreConnection> Connection,
                           StoreRequest Message, core::TimePoint Deadline,
                           std::uint64_t MaxBodyBytes) {
  co_await asio::this_coro::throw_if_cancelled(false);
  StoreExchange Outcome;
  Connection->Stream.expires_at(Deadline);
  const auto [WriteCode, Written] =
      co_await http::async_write(Connection->Stream, Message, AsTuple);
  Outcome.Sent = !WriteCode || Written > 0;
  Outcome.TimedOut = WriteCode == beast::error::timeout;
  if (WriteCode)
    co_return Outcome;
  ProgressDeadline Progress(Connection->Stream, Deadline);
  auto Response = co_await core::readWholeResponse(
      Connection->Stream, Connection->Buffer, MaxBodyBytes, &Progress);
  Outcome.BegunAt = Progress.begunAt();
  if (!Response) {
    Outcome.TimedOut = Response.error() == beast::error::timeout;
    Outcome.TooLarge = Response.error() == http::error::body_limit;
    co_return Outcome;
  }
  Outcome.Status = Response->Status;
  Outcome.Head = std::move(Response->Head);
  Outcome.Body = std::move(Response->Body);
  Connection->Used = true;
  if (Response->Reusable)
    returnIdle(std::move(Connection));
  co_return Outcome;
}

core::Awaitable<StoreExchange>
StoreConnections::sendOnce(StoreRequest Message, core::TimePoint Deadline,
                           std::uint64_t MaxBodyBytes) {
  auto Connection = takeIdle();
  if (!Connection)
    Connection = co_await connect(Deadline);
  if (!Connection)
    co_return StoreExchange{.Sent = false,
                            .TimedOut =
                                std::chrono::steady_clock::now() >= Deadline,
                            .TooLarge = false,
                            .BegunAt = {},
                            .Status = 0,
                            .Body = {},
                            .Head = {}};
  auto ConnectionExecutor = Connection->Stream.get_executor();
  co_return co_await asio::co_spawn(ConnectionExecutor,
                                    exchange(std::move(Connection),
                                             std::move(Message), Deadline,
                                             MaxBodyBytes),
                                    asio::use_awaitable);
}

core::Awaitable<StoreExchange>
StoreConnections::sendIdempotent(StoreRequest Message, core::TimePoint Deadline,
                                 std::uint64_t MaxBodyBytes) {
  StoreExchange Outcome;
  // One attempt more than endpoints, because the first one may use an idle
  // connection that the store has just closed.
  for (std::size_t Attempt = 0; Attempt <= Endpoints.size(); ++Attempt) {
    const std::size_t Endpoint = preferred();
    Outcome = co_await sendOnce(Message, Deadline, MaxBodyBytes);
    if (Outcome.Status != 0 || Outcome.TimedOut || Outcome.TooLarge ||
        !Outcome.Sent)
      co_return Outcome;
    if (Attempt > 0)
      skipEndpoint(Endpoint);
  }
  co_return Outcome;
}

} // namespace jujubecart::store
