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

// Callers wait this much longer than the deadline they state.
constexpr milliseconds Patience{500};

constexpr milliseconds FaultTimeout{2000};

double elapsedMs(steady_clock::time_point Since) noexcept {
  return std::chrono::duration<double, std::milli>(steady_clock::now() - Since)
      .count();
}

Answer classify(const http::response<http::string_body> &Response,
                std::uint64_t Draw) {
  const auto Outcome = Response["X-Outcome"];
  if (Outcome == "not-run")
    return Answer::NotRun;
  if (Outcome == "unknown")
    return Answer::Unknown;
  if (Response.result() != http::status::ok)
    return Answer::Unlabelled;
  return Response.body() == responseBody(Draw) ? Answer::Complete
                                               : Answer::Wrong;
}

} // namespace

Generator::Generator(const asio::any_io_executor &Executor,
                     const Experiment &Plan)
    : Executor(Executor), Plan(Plan), All(arrivals(Plan)),
      Connections(Executor, Plan) {
  Samples.reserve(All.size());
}

asio::awaitable<void> Generator::run() {
  co_await Connections.warm();
  for (std::size_t Entry = 0; Entry < Plan.Entries.size(); ++Entry)
    asio::co_spawn(Executor, Connections.pollReady(Entry), asio::detached);
  Start = steady_clock::now() + milliseconds(100);
  WallStart = std::chrono::system_clock::now() + milliseconds(100);
  StartedMs =
      std::chrono::duration<double, std::milli>(WallStart.time_since_epoch())
          .count();
  for (std::size_t Index = 0; Index < Plan.Faults.size(); ++Index)
    asio::co_spawn(Executor, fault(Index), asio::detached);
  asio::steady_timer Timer(Executor);
  for (std::uint32_t Index = 0; Index < All.size(); ++Index) {
    if (due(All[Index]) > steady_clock::now()) {
      Timer.expires_at(due(All[Index]));
      co_await Timer.async_wait(use_awaitable);
    }
    asio::co_spawn(Executor, send(Index), asio::detached);
  }
  while (Samples.size() < All.size()) {
    Timer.expires_after(milliseconds(20));
    co_await Timer.async_wait(use_awaitable);
  }
  Connections.stop();
}

Generator::Request Generator::request(const Arrival &Cause) const {
  const ServiceLoad &Service = Plan.Services[Cause.Service];
  Request Message(Service.Order ? http::verb::post : http::verb::get,
                  Service.Path, 11);
  Message.set(http::field::host, Service.Host);
  Message.set("X-Draw", drawText(Cause.Draw));
  const auto Deadline = WallStart + Cause.Due + Service.Deadline;
  Message.set("X-Deadline",
              std::to_string(std::chrono::duration_cast<milliseconds>(
                                 Deadline.time_since_epoch())
                                 .count()));
  if (Service.Order) {
    Message.set("Idempotency-Key", orderKeyText(WallStart, Cause.Draw));
    Message.body() = requestBody(Cause.Draw);
  }
  Message.prepare_payload();
  return Message;
}

asio::awaitable<void> Generator::send(std::uint32_t Index) {
  const Arrival &Cause = All[Index];
  Sample Result;
  Result.Arrival = Index;
  Result.LateMs = static_cast<float>(elapsedMs(due(Cause)));
  co_await exchange(Result);
  Result.LatencyMs = static_cast<float>(elapsedMs(due(Cause)));
  Samples.push_back(Result);
}

asio::awaitable<void> Generator::exchange(Sample &Result) {
  const Arrival &Cause = All[Result.Arrival];
  Pool::Item Connection = co_await Connections.take();
  if (!Connection) {
    Result.Kind = Answer::NoConnection;
    co_return;
  }
  Result.Entry = static_cast<std::uint16_t>(Connection->Entry);
  const Request Message = request(Cause);
  Connection->Stream.expires_at(
      due(Cause) + Plan.Services[Cause.Service].Deadline + Patience);
  boost::system::error_code Code;
  co_await http::async_write(Connection->Stream, Message,
                             asio::redirect_error(use_awaitable, Code));
  http::response<http::string_body> Response;
  if (!Code)
    co_await http::async_read(Connection->Stream, Connection->Buffer, Response,
                              asio::redirect_error(use_awaitable, Code));
  if (Code) {
    Result.Kind =
        Code == boost::beast::error::timeout ? Answer::Silent : Answer::Cut;
    co_return;
  }
  Result.Status = static_cast<std::uint16_t>(Response.result_int());
  Result.Kind = classify(Response, Cause.Draw);
  if (Response.keep_alive())
    Connections.put(std::move(Connection));
}

asio::awaitable<void> Generator::fault(std::size_t Index) {
  const Fault &Item = Plan.Faults[Index];
  asio::steady_timer Timer(Executor, Start + Item.At);
  co_await Timer.async_wait(use_awaitable);
  try {
    if (Item.Pid > 0)
      ::kill(Item.Pid, Item.Signal);
    else
      (void)co_await httpCall(Item.Address, Item.Path, Item.Body, FaultTimeout);
  } catch (const std::exception &Problem) {
    std::cerr << "load: fault at " << Item.At.count()
              << " ms failed: " << Problem.what() << '\n';
  }
}

} // namespace jujubecart::dev
