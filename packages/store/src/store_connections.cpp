#include <jujubecart/store/store_connections.hpp>

#include <jujubecart/core/endpoint.hpp>

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

// Values have up to 1 MB; escaping in JSON can multiply that by six.
constexpr std::uint64_t MaxBody = 8ULL << 20U;

// One endpoint that drops packets must leave time for the next one.
constexpr std::chrono::milliseconds ConnectTimeout{500};

constexpr std::size_t MaxIdle = 16;

// A connection that the store has closed reads as end of file, one with
// unexpected bytes is out of step; neither may carry a request.
bool isQuiet(StoreConnection &Item) {
  auto &Socket = Item.Stream.socket();
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
    auto Item = std::move(Idle.back());
    Idle.pop_back();
    if (isQuiet(*Item))
      return Item;
  }
  return nullptr;
}

std::size_t StoreConnections::preferred() {
  const std::lock_guard Lock(Mutex);
  return Preferred;
}

void StoreConnections::giveBack(std::shared_ptr<StoreConnection> Item) {
  const std::lock_guard Lock(Mutex);
  if (Idle.size() < MaxIdle)
    Idle.push_back(std::move(Item));
}

void StoreConnections::avoid(std::size_t Endpoint) {
  const std::lock_guard Lock(Mutex);
  if (Preferred == Endpoint)
    Preferred = (Endpoint + 1) % Endpoints.size();
}

core::Awaitable<bool>
StoreConnections::connectTo(std::shared_ptr<StoreConnection> Item,
                            std::size_t Endpoint, core::TimePoint Deadline) {
  co_await asio::this_coro::throw_if_cancelled(false);
  Item->Stream.expires_at(
      std::min(Deadline, std::chrono::steady_clock::now() + ConnectTimeout));
  const auto [Code] =
      co_await Item->Stream.async_connect(Endpoints[Endpoint], AsTuple);
  if (!Code)
    Item->Stream.socket().set_option(asio::ip::tcp::no_delay(true));
  co_return !Code;
}

core::Awaitable<std::shared_ptr<StoreConnection>>
StoreConnections::connect(core::TimePoint Deadline) {
  const std::size_t First = preferred();
  for (std::size_t Offset = 0; Offset < Endpoints.size(); ++Offset) {
    const std::size_t Endpoint = (First + Offset) % Endpoints.size();
    if (std::chrono::steady_clock::now() >= Deadline)
      break;
    auto Item = makeConnection();
    if (co_await asio::co_spawn(Item->Stream.get_executor(),
                                connectTo(Item, Endpoint, Deadline),
                                asio::use_awaitable))
      co_return Item;
    avoid(Endpoint);
  }
  co_return nullptr;
}

core::Awaitable<StoreExchange>
StoreConnections::exchange(std::shared_ptr<StoreConnection> Item,
                           StoreRequest Message, core::TimePoint Deadline) {
  co_await asio::this_coro::throw_if_cancelled(false);
  StoreExchange Outcome;
  Item->Stream.expires_at(Deadline);
  const auto [WriteCode, Written] =
      co_await http::async_write(Item->Stream, Message, AsTuple);
  Outcome.Sent = !WriteCode || Written > 0;
  Outcome.TimedOut = WriteCode == beast::error::timeout;
  if (WriteCode)
    co_return Outcome;
  http::response_parser<http::string_body> Parser;
  Parser.body_limit(MaxBody);
  const auto [ReadCode, Read] =
      co_await http::async_read(Item->Stream, Item->Buffer, Parser, AsTuple);
  Outcome.TimedOut = ReadCode == beast::error::timeout;
  if (ReadCode)
    co_return Outcome;
  Outcome.Status = Parser.get().result_int();
  Outcome.Body = std::move(Parser.get().body());
  Item->Used = true;
  if (Parser.keep_alive())
    giveBack(std::move(Item));
  co_return Outcome;
}

core::Awaitable<StoreExchange>
StoreConnections::sendOnce(StoreRequest Message, core::TimePoint Deadline) {
  auto Item = takeIdle();
  if (!Item)
    Item = co_await connect(Deadline);
  if (!Item)
    co_return StoreExchange{.Sent = false,
                            .TimedOut =
                                std::chrono::steady_clock::now() >= Deadline,
                            .Status = 0,
                            .Body = {}};
  auto Executing = Item->Stream.get_executor();
  co_return co_await asio::co_spawn(
      Executing, exchange(std::move(Item), std::move(Message), Deadline),
      asio::use_awaitable);
}

core::Awaitable<StoreExchange>
StoreConnections::sendIdempotent(StoreRequest Message,
                                 core::TimePoint Deadline) {
  StoreExchange Outcome;
  // One more than the endpoints: an idle connection may have gone stale.
  for (std::size_t Attempt = 0; Attempt <= Endpoints.size(); ++Attempt) {
    const std::size_t Endpoint = preferred();
    Outcome = co_await sendOnce(Message, Deadline);
    if (Outcome.Status != 0 || Outcome.TimedOut || !Outcome.Sent)
      co_return Outcome;
    if (Attempt > 0)
      avoid(Endpoint);
  }
  co_return Outcome;
}

} // namespace jujubecart::store
