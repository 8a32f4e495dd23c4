#include "load/generator.hpp"

#include "common/http_call.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <iostream>

namespace jujubecart::dev {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::use_awaitable;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

// Callers wait for a response this much longer than the deadline they state.
constexpr milliseconds ResponseGracePeriod{500};

// Limit for the request to a control port that injects a fault.
constexpr milliseconds FaultTimeout{2000};

double elapsedMs(steady_clock::time_point Since) noexcept {
  return std::chrono::duration<double, std::milli>(steady_clock::now() - Since)
      .count();
}

CallOutcome classify(const http::response<http::string_body> &Response,
                     std::uint64_t Draw) {
  const auto Label = Response["X-Outcome"];
  if (Label == "not-run")
    return CallOutcome::NotRun;
  if (Label == "unknown")
    return CallOutcome::Unknown;
  if (Response.result() != http::status::ok)
    return CallOutcome::Unlabelled;
  return Response.body() == makeResponseBody(Draw) ? CallOutcome::Complete
                                                   : CallOutcome::Wrong;
}

} // namespace

Generator::Generator(const asio::any_io_executor &Executor,
                     const Experiment &Plan)
    : Executor(Executor), Plan(Plan), Arrivals(generateArrivals(Plan)),
      Connections(Executor, Plan) {
  Results.reserve(Arrivals.size());
}

asio::awaitable<void> Generator::run() {
  co_await Connections.openInitial();
  for (std::size_t EntryIndex = 0; EntryIndex < Plan.Entries.size();
       ++EntryIndex)
    asio::co_spawn(Executor, Connections.pollReady(EntryIndex), asio::detached);
  Start = steady_clock::now() + milliseconds(100);
  WallStart = std::chrono::system_clock::now() + milliseconds(100);
  StartedMs =
      std::chrono::duration<double, std::milli>(WallStart.time_since_epoch())
          .count();
  for (std::size_t Index = 0; Index < Plan.Faults.size(); ++Index)
    asio::co_spawn(Executor, injectFault(Index), asio::detached);
  asio::steady_timer Timer(Executor);
  for (std::uint32_t Index = 0; Index < Arrivals.size(); ++Index) {
    if (dueTime(Arrivals[Index]) > steady_clock::now()) {
      Timer.expires_at(dueTime(Arrivals[Index]));
      co_await Timer.async_wait(use_awaitable);
    }
    asio::co_spawn(Executor, sendRequest(Index), asio::detached);
  }
  while (Results.size() < Arrivals.size()) {
    Timer.expires_after(milliseconds(20));
    co_await Timer.async_wait(use_awaitable);
  }
  Connections.stop();
}

Generator::Request Generator::makeRequest(const Arrival &Call) const {
  const ServiceLoad &Service = Plan.Services[Call.ServiceIndex];
  Request Message(Service.IsOrder ? http::verb::post : http::verb::get,
                  Service.Path, 11);
  Message.set(http::field::host, Service.Host);
  Message.set("X-Draw", formatDraw(Call.Draw));
  const auto Deadline = WallStart + Call.Due + Service.Deadline;
  Message.set("X-Deadline",
              std::to_string(std::chrono::duration_cast<milliseconds>(
                                 Deadline.time_since_epoch())
                                 .count()));
  if (Service.IsOrder) {
    Message.set("Idempotency-Key", formatOrderKey(WallStart, Call.Draw));
    Message.body() = makeRequestBody(Call.Draw);
  }
  Message.prepare_payload();
  return Message;
}

asio::awaitable<void> Generator::sendRequest(std::uint32_t Index) {
  const Arrival &Call = Arrivals[Index];
  CallResult Result;
  Result.ArrivalIndex = Index;
  Result.LatenessMs = static_cast<float>(elapsedMs(dueTime(Call)));
  co_await exchange(Result);
  Result.LatencyMs = static_cast<float>(elapsedMs(dueTime(Call)));
  Results.push_back(Result);
}

asio::awaitable<void> Generator::exchange(CallResult &Result) {
  const Arrival &Call = Arrivals[Result.ArrivalIndex];
  Pool::ConnectionPtr Connection = co_await Connections.acquire();
  if (!Connection) {
    Result.Outcome = CallOutcome::NoConnection;
    co_return;
  }
  Result.EntryIndex = static_cast<std::uint16_t>(Connection->EntryIndex);
  const Request Message = makeRequest(Call);
  Connection->Stream.expires_at(dueTime(Call) +
                                Plan.Services[Call.ServiceIndex].Deadline +
                                ResponseGracePeriod);
  boost::system::error_code Code;
  co_await http::async_write(Connection->Stream, Message,
                             asio::redirect_error(use_awaitable, Code));
  http::response<http::string_body> Response;
  if (!Code)
    co_await http::async_read(Connection->Stream, Connection->Buffer, Response,
                              asio::redirect_error(use_awaitable, Code));
  if (Code) {
    Result.Outcome = Code == boost::beast::error::timeout ? CallOutcome::Silent
                                                          : CallOutcome::Cut;
    co_return;
  }
  Result.Status = static_cast<std::uint16_t>(Response.result_int());
  Result.Outcome = classify(Response, Call.Draw);
  if (Response.keep_alive())
    Connections.release(std::move(Connection));
}

asio::awaitable<void> Generator::injectFault(std::size_t Index) {
  const Fault &Item = Plan.Faults[Index];
  asio::steady_timer Timer(Executor, Start + Item.At);
  co_await Timer.async_wait(use_awaitable);
  try {
    if (Item.Pid > 0)
      ::kill(Item.Pid, Item.Signal);
    else
      (void)co_await httpCall(Item.Address, Item.Path, Item.Body, FaultTimeout);
  } catch (const std::exception &Error) {
    std::cerr << "load: fault at " << Item.At.count()
              << " ms failed: " << Error.what() << '\n';
  }
}

} // namespace jujubecart::dev
