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

LegState parseState(const std::string &Name) {
  if (Name == "open")
    return LegState::Open;
  if (Name == "cut")
    return LegState::Cut;
  if (Name == "frozen")
    return LegState::Frozen;
  throw std::invalid_argument("unknown leg state \"" + Name + "\"");
}

bool matches(const std::string &Pattern, const std::string &Value) {
  return Pattern == "*" || Pattern == Value;
}

} // namespace

Relay::Relay(asio::io_context &Context, const json &Settings)
    : Context(Context), ZoneDelay(Settings.at("zone_us").get<std::int64_t>()),
      Port(Context, 0, [this](HttpRequest Request, auto &) {
        return control(std::move(Request));
      }) {
  Sources = Settings.value("sources", Sources);
  for (const json &Value : Settings.at("legs")) {
    std::optional<microseconds> Fixed;
    if (Value.contains("delay_us"))
      Fixed = microseconds(Value.at("delay_us").get<std::int64_t>());
    Legs.push_back(
        {Value.at("id"), Value.value("zone", ""),
         parseEndpoint(Value.at("target")), Fixed,
         listen(Context, parseEndpoint(Value.value("listen", "127.0.0.1:0")))});
  }
}

json Relay::addresses() const {
  json Result{{"control", "127.0.0.1:" + std::to_string(Port.port())},
              {"legs", json::object()}};
  for (const Leg &Item : Legs)
    Result["legs"][Item.Id] = formatEndpoint(Item.Acceptor.local_endpoint());
  return Result;
}

void Relay::start() {
  for (Leg &Item : Legs)
    asio::co_spawn(Context, accept(Item), asio::detached);
}

// A source of unknown zone is delayed as if it were in another one.
microseconds Relay::delay(const Leg &To, const std::string &Source) const {
  if (To.Fixed)
    return *To.Fixed;
  const auto Found = Sources.find(Source);
  const bool Same = Found != Sources.end() && Found->second == To.Zone;
  return Same ? microseconds(0) : ZoneDelay;
}

LegState Relay::state(const std::string &Id, const std::string &Source) const {
  LegState Result = LegState::Open;
  for (const Rule &Item : Rules)
    if (matches(Item.Leg, Id) && matches(Item.Source, Source))
      Result = Item.State;
  return Result;
}

void Relay::apply(const json &Command) {
  Rules.push_back({Command.at("leg"), Command.value("source", "*"),
                   parseState(Command.at("state"))});
  std::erase_if(Links, [](const auto &Item) { return Item.expired(); });
  for (const std::weak_ptr<Link> &Item : Links) {
    const std::shared_ptr<Link> Connection = Item.lock();
    if (!Connection)
      continue;
    Connection->State = state(Connection->Leg, Connection->Source);
    if (Connection->State == LegState::Cut)
      Connection->close();
  }
}

asio::awaitable<void> Relay::accept(Leg &From) {
  while (true) {
    boost::system::error_code Code;
    tcp::socket Socket = co_await From.Acceptor.async_accept(
        asio::redirect_error(use_awaitable, Code));
    const auto Peer = Code ? tcp::endpoint() : Socket.remote_endpoint(Code);
    if (Code)
      continue;
    const std::string Source = Peer.address().to_string();
    auto Connection =
        std::make_shared<Link>(std::move(Socket), From.Id, Source);
    Connection->Delay = delay(From, Source);
    Connection->State = state(From.Id, Source);
    if (Connection->State == LegState::Cut)
      continue;
    // Expired entries are removed in bulk, so that accepting stays cheap.
    if (Links.size() >= 1024 && Links.size() == Links.capacity())
      std::erase_if(Links, [](const auto &Item) { return Item.expired(); });
    Links.push_back(Connection);
    asio::co_spawn(Context, connect(std::move(Connection), From),
                   asio::detached);
  }
}

asio::awaitable<void> Relay::connect(std::shared_ptr<Link> Connection,
                                     const Leg &From) {
  boost::system::error_code Code;
  const auto Begun = std::chrono::steady_clock::now();
  asio::steady_timer Timer(Context);
  while (Connection->State == LegState::Frozen) {
    Timer.expires_after(std::chrono::milliseconds(2));
    co_await Timer.async_wait(use_awaitable);
  }
  co_await Connection->Far.async_connect(
      From.Target, asio::redirect_error(use_awaitable, Code));
  if (Code) {
    Connection->close();
    co_return;
  }
  Connection->Near.set_option(tcp::no_delay(true), Code);
  Connection->Far.set_option(tcp::no_delay(true), Code);
  // The handshake of a real connection takes two delays before the first byte
  // leaves the sender; here the local kernel has answered at once.
  std::make_shared<Pipe>(Connection, Connection->Near, Connection->Far,
                         Begun + 3 * Connection->Delay)
      ->start();
  std::make_shared<Pipe>(Connection, Connection->Far, Connection->Near, Begun)
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
