#include "fakes/store_server.hpp"

#include <jujubecart/core/json_reader.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace jujubecart::dev {

namespace asio = boost::asio;
using namespace boost::asio::experimental::awaitable_operators;
using std::chrono::milliseconds;

namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t MaxWatchMs = 60000;
constexpr std::int64_t MaxRatePerSecond = 1'000'000;

HttpReply errorReply(unsigned Status, const std::string &Text) {
  return HttpReply{.Status = Status,
                   .Body = nlohmann::json{{"error", Text}}.dump()};
}

HttpReply versionReply(unsigned Status, std::uint64_t Version) {
  return HttpReply{.Status = Status,
                   .Body = nlohmann::json{{"version", Version}}.dump()};
}

nlohmann::json toJson(const StoreCounters &Counters) {
  return {{"reads", Counters.Reads},
          {"writes", Counters.Writes},
          {"watches", Counters.Watches},
          {"conflicts", Counters.Conflicts},
          {"rejected", Counters.Rejected}};
}

} // namespace

StoreServer::StoreServer(asio::io_context &Context, std::uint16_t Port)
    : Context(Context), SecondTimer(Context),
      KeyChanged(Context, asio::steady_timer::time_point::max()),
      Server(Context, Port,
             [this](HttpRequest Message, asio::ip::tcp::socket &Socket) {
               return respond(std::move(Message), Socket);
             }) {
  asio::co_spawn(Context, rotateCounters(), asio::detached);
}

core::Awaitable<void> StoreServer::rotateCounters() {
  SecondTimer.expires_at(std::chrono::steady_clock::now());
  for (;;) {
    SecondTimer.expires_at(SecondTimer.expiry() + std::chrono::seconds(1));
    const auto [Code] = co_await SecondTimer.async_wait(AsTuple);
    if (Code)
      co_return;
    LastSecond = CurrentSecond;
    CurrentSecond = StoreCounters{};
  }
}

void StoreServer::count(std::uint64_t StoreCounters::*Counter) {
  ++(Total.*Counter);
  ++(CurrentSecond.*Counter);
}

bool StoreServer::isOverLimit(bool IsWrite) const noexcept {
  const std::uint64_t Limit =
      IsWrite ? Faults.MaxWritesPerSecond : Faults.MaxReadsPerSecond;
  const std::uint64_t Count = IsWrite
                                  ? CurrentSecond.Writes
                                  : CurrentSecond.Reads + CurrentSecond.Watches;
  return Limit != 0 && Count >= Limit;
}

core::Awaitable<StoreServer::Reply>
StoreServer::respond(HttpRequest Message, asio::ip::tcp::socket &Socket) {
  namespace http = boost::beast::http;
  const std::string Target(Message.target());
  if (Target == "/control" && Message.method() == http::verb::post)
    co_return control(Message.body());
  if (Target == "/stats" && Message.method() == http::verb::get)
    co_return stats();
  if (Target.rfind("/kv/", 0) != 0 || Target.size() == 4)
    co_return errorReply(404, "unknown path");
  const bool IsWrite = Message.method() == http::verb::put;
  if (!IsWrite && Message.method() != http::verb::get)
    co_return errorReply(405, "only GET and PUT are supported");
  while (Faults.Mode == Outage::Silent) {
    asio::steady_timer Timer(Context, milliseconds(10));
    co_await Timer.async_wait(AsTuple);
  }
  if (Faults.Mode == Outage::Close)
    co_return std::nullopt;
  if (Faults.Mode == Outage::Reject || isOverLimit(IsWrite)) {
    count(&StoreCounters::Rejected);
    co_return errorReply(Faults.Mode == Outage::Reject ? 503 : 429, "rejected");
  }
  if (Faults.Latency.count() > 0) {
    asio::steady_timer Timer(Context, Faults.Latency);
    co_await Timer.async_wait(AsTuple);
  }
  auto Response = co_await execute(std::move(Message), Socket);
  if (std::bernoulli_distribution(Faults.LostResponseProbability)(Engine))
    co_return std::nullopt;
  co_return Response;
}

core::Awaitable<StoreServer::Reply>
StoreServer::execute(HttpRequest Message, asio::ip::tcp::socket &Socket) {
  const std::string Target(Message.target());
  const std::string Key = Target.substr(4, Target.find('?') - 4);
  if (Message.method() == boost::beast::http::verb::put) {
    const auto Expected = queryNumber(Target, "version");
    if (!Expected)
      co_return errorReply(400, "query parameter version is missing");
    co_return write(Key, std::move(Message.body()), *Expected);
  }
  if (const auto After = queryNumber(Target, "after"))
    co_return co_await watch(
        Key, *After,
        std::min(queryNumber(Target, "timeout_ms").value_or(0), MaxWatchMs),
        Socket);
  count(&StoreCounters::Reads);
  co_return read(Key);
}

core::Awaitable<StoreServer::Reply>
StoreServer::watch(std::string Key, std::uint64_t After,
                   std::uint64_t TimeoutMs, asio::ip::tcp::socket &Socket) {
  count(&StoreCounters::Watches);
  asio::steady_timer Timeout(Context, milliseconds(TimeoutMs));
  ++PendingWatches;
  Reply Result = HttpReply{.Status = 304, .Body = {}};
  for (;;) {
    const auto Value = Model.get(Key);
    if (Value && Value->Version > After) {
      Result = read(Key);
      break;
    }
    if (Faults.Mode == Outage::Close ||
        Timeout.expiry() <= std::chrono::steady_clock::now())
      break;
    // The socket becomes readable when the client closes the connection.
    const auto First = co_await (
        KeyChanged.async_wait(AsTuple) || Timeout.async_wait(AsTuple) ||
        Socket.async_wait(asio::ip::tcp::socket::wait_read, AsTuple));
    if (First.index() == 2) {
      Result.reset();
      break;
    }
  }
  --PendingWatches;
  if (Faults.Mode == Outage::Close)
    Result.reset();
  co_return Result;
}

HttpReply StoreServer::read(const std::string &Key) const {
  const auto Value = Model.get(Key);
  if (!Value)
    return errorReply(404, "no such key");
  return HttpReply{
      .Status = 200,
      .Body =
          nlohmann::json{{"version", Value->Version}, {"value", Value->Value}}
              .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

HttpReply StoreServer::write(const std::string &Key, std::string Value,
                             std::uint64_t Expected) {
  constexpr std::size_t MaxValueBytes = 1'000'000;
  if (Value.size() > MaxValueBytes)
    return errorReply(413, "value above 1 MB");
  count(&StoreCounters::Writes);
  const auto Written = Model.put(Key, std::move(Value), Expected);
  if (!Written.Accepted) {
    count(&StoreCounters::Conflicts);
    return versionReply(409, Written.Version);
  }
  // Wakes every pending watch; each of them checks its own key.
  KeyChanged.cancel();
  return versionReply(200, Written.Version);
}

HttpReply StoreServer::control(const std::string &Body) {
  core::Findings Report("control");
  const auto Value = core::parseJson(Body, Report);
  if (!Value)
    return errorReply(400, Report.text());
  core::JsonReader Reader(*Value, "", Report);
  StoreFaults Next = Faults;
  Next.Mode = static_cast<Outage>(
      Reader.choice("outage", {"none", "reject", "close", "silent"},
                    static_cast<std::size_t>(Faults.Mode)));
  Next.Latency = milliseconds(
      Reader.integerOr("latency_ms", 0, 600000, Faults.Latency.count()));
  Next.LostResponseProbability = Reader.numberOr(
      "lose_answer_probability", 0, 1, Faults.LostResponseProbability);
  Next.MaxReadsPerSecond = static_cast<std::uint64_t>(
      Reader.integerOr("max_reads_per_s", 0, MaxRatePerSecond,
                       static_cast<std::int64_t>(Faults.MaxReadsPerSecond)));
  Next.MaxWritesPerSecond = static_cast<std::uint64_t>(
      Reader.integerOr("max_writes_per_s", 0, MaxRatePerSecond,
                       static_cast<std::int64_t>(Faults.MaxWritesPerSecond)));
  const std::int64_t Seed = Reader.integerOr("seed", 0, INT64_MAX, -1);
  Reader.rejectUnknownKeys();
  if (!Report.empty())
    return errorReply(400, Report.text());
  if (Seed >= 0)
    Engine.seed(static_cast<std::uint64_t>(Seed));
  Faults = Next;
  KeyChanged.cancel();
  return HttpReply{.Status = 200, .Body = "{}"};
}

HttpReply StoreServer::stats() const {
  nlohmann::json Value = toJson(Total);
  Value["per_second"] = toJson(LastSecond);
  Value["pending_watches"] = PendingWatches;
  Value["keys"] = Model.values().size();
  return HttpReply{.Status = 200, .Body = Value.dump()};
}

} // namespace jujubecart::dev
