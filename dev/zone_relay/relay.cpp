#include "zone_relay/relay.hpp"

#include "common/endpoint.hpp"
#include "zone_relay/pipe.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace jujubecart::dev {

namespace asio = boost::asio;
using asio::use_awaitable;
using asio::ip::tcp;
using nlohmann::json;
using std::chrono::microseconds;

namespace {

PathState parseState(const std::string &Name) {
  if (Name == "open")
    return PathState::Open;
  if (Name == "cut")
    return PathState::Cut;
  if (Name == "frozen")
    return PathState::Frozen;
  throw std::invalid_argument("unknown leg state \"" + Name + "\"");
}

bool matches(const std::string &Pattern, const std::string &Value) {
  return Pattern == "*" || Pattern == Value;
}

} // namespace

Relay::Relay(asio::io_context &Context, const json &Settings)
    : Context(Context), ZoneDelay(Settings.at("zone_us").get<std::int64_t>()),
      ControlServer(Context, 0, [this](HttpRequest Request, auto &) {
        return control(std::move(Request));
      }) {
  ZoneBySource = Settings.value("sources", ZoneBySource);
  for (const json &Value : Settings.at("legs")) {
    std::optional<microseconds> FixedDelay;
    if (Value.contains("delay_us"))
      FixedDelay = microseconds(Value.at("delay_us").get<std::int64_t>());
    Routes.push_back(
        {Value.at("id"), Value.value("zone", ""),
         parseEndpoint(Value.at("target")), FixedDelay,
         listen(Context, parseEndpoint(Value.value("listen", "127.0.0.1:0")))});
  }
}

json Relay::addresses() const {
  json Result{{"control", "127.0.0.1:" + std::to_string(ControlServer.port())},
              {"legs", json::object()}};
  for (const Route &Item : Routes)
    Result["legs"][Item.Id] = formatEndpoint(Item.Acceptor.local_endpoint());
  return Result;
}

void Relay::start() {
  for (Route &Item : Routes)
    asio::co_spawn(Context, accept(Item), asio::detached);
}

// A source that is not listed counts as being in another zone.
microseconds Relay::pathDelay(const Route &Via,
                              const std::string &Source) const {
  if (Via.FixedDelay)
    return *Via.FixedDelay;
  const auto Found = ZoneBySource.find(Source);
  const bool SameZone =
      Found != ZoneBySource.end() && Found->second == Via.Zone;
  return SameZone ? microseconds(0) : ZoneDelay;
}

PathState Relay::pathState(const std::string &RouteId,
                           const std::string &Source) const {
  PathState Result = PathState::Open;
  for (const PathRule &Item : PathRules)
    if (matches(Item.RouteId, RouteId) && matches(Item.Source, Source))
      Result = Item.State;
  return Result;
}

void Relay::apply(const json &Command) {
  PathRules.push_back({Command.at("leg"), Command.value("source", "*"),
                       parseState(Command.at("state"))});
  std::erase_if(Links, [](const auto &Item) { return Item.expired(); });
  for (const std::weak_ptr<Link> &Item : Links) {
    const std::shared_ptr<Link> Connection = Item.lock();
    if (!Connection)
      continue;
    Connection->State = pathState(Connection->RouteId, Connection->Source);
    if (Connection->State == PathState::Cut)
      Connection->close();
  }
}

asio::awaitable<void> Relay::accept(Route &Via) {
  while (true) {
    boost::system::error_code Code;
    tcp::socket Socket = co_await Via.Acceptor.async_accept(
        asio::redirect_error(use_awaitable, Code));
    const auto Peer = Code ? tcp::endpoint() : Socket.remote_endpoint(Code);
    if (Code)
      continue;
    const std::string Source = Peer.address().to_string();
    auto Connection = std::make_shared<Link>(std::move(Socket), Via.Id, Source);
    Connection->Delay = pathDelay(Via, Source);
    Connection->State = pathState(Via.Id, Source);
    if (Connection->State == PathState::Cut)
      continue;
    // Expired links are removed only when the vector would grow, which keeps
    // the amortized cost of accepting a connection low.
    if (Links.size() >= 1024 && Links.size() == Links.capacity())
      std::erase_if(Links, [](const auto &Item) { return Item.expired(); });
    Links.push_back(Connection);
    asio::co_spawn(Context, connect(std::move(Connection), Via),
                   asio::detached);
  }
}

asio::awaitable<void> Relay::connect(std::shared_ptr<Link> Connection,
                                     const Route &Via) {
  boost::system::error_code Code;
  const auto ConnectStart = std::chrono::steady_clock::now();
  asio::steady_timer Timer(Context);
  while (Connection->State == PathState::Frozen) {
    Timer.expires_after(std::chrono::milliseconds(2));
    co_await Timer.async_wait(use_awaitable);
  }
  co_await Connection->Upstream.async_connect(
      Via.Target, asio::redirect_error(use_awaitable, Code));
  if (Code) {
    Connection->close();
    co_return;
  }
  Connection->Downstream.set_option(tcp::no_delay(true), Code);
  Connection->Upstream.set_option(tcp::no_delay(true), Code);
  // Over a real network, the TCP handshake takes two delays before the first
  // byte leaves the sender, and that byte takes a third one. Here the local
  // kernel has completed the handshake at once.
  std::make_shared<Pipe>(Connection, Connection->Downstream,
                         Connection->Upstream,
                         ConnectStart + 3 * Connection->Delay)
      ->start();
  std::make_shared<Pipe>(Connection, Connection->Upstream,
                         Connection->Downstream, ConnectStart)
      ->start();
}

core::Awaitable<std::optional<HttpReply>> Relay::control(HttpRequest Request) {
  HttpReply Reply{200, "{}"};
  try {
    apply(json::parse(Request.body()));
  } catch (const std::exception &Error) {
    Reply = {400, Error.what()};
  }
  co_return Reply;
}

} // namespace jujubecart::dev
