#include "daemon.hpp"

#include "daemon_metrics.hpp"
#include "daemon_options.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <stdexcept>
#include <thread>

namespace jujubecart::daemon {

namespace internal {

namespace asio = boost::asio;

constexpr std::chrono::seconds PruneInterval{1};

std::uint64_t unixMilliseconds(const core::Clock &Time) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          Time.wallNow().time_since_epoch())
          .count());
}

std::uint64_t randomNumber() { return core::newRequestId().Value; }

} // namespace internal

Daemon::Daemon(operators::Settings Given)
    : All(std::move(Given)), Io(static_cast<int>(All.Workers)),
      Events(Time, All.TimelineEvents),
      Store(Io.get_executor(), All.Store.Endpoints),
      Tickets(Store, Time, Delays, internal::randomNumber),
      Reader(Io.get_executor(), {.Store = Store,
                                 .Table = Config,
                                 .Time = Time,
                                 .Delays = Delays,
                                 .Random = internal::randomNumber}),
      Startup(Config, Reader, Time, Delays),
      Broker(Config, Time, localPolicy(All.Policy), internal::randomNumber()),
      Pool(Io.get_executor(), {}, Time), Transport(Pool, Time),
      Callers(Io.get_executor(), callerOptions(All.Callers),
              {.Time = Time,
               .Config = Config,
               .Broker = Broker,
               .Backends = Transport,
               .Events = Events,
               .Retries = Retries}),
      Endpoints(ApiParts{.All = All,
                         .Io = Io,
                         .Time = Time,
                         .Config = Config,
                         .Events = Events,
                         .Metrics = Metrics,
                         .Tickets = Tickets,
                         .Callers = Callers,
                         .Stopping = Stopping,
                         .Incarnation = internal::unixMilliseconds(Time)}) {
  registerMetrics(
      Metrics,
      {.Callers = Callers, .Pool = Pool, .Config = Config, .Events = Events});
  Config.subscribe([this](const core::ConfigSource::Snapshot &Snapshot) {
    core::LogLine(core::LogLevel::Info, "config.applied")
        .field("revision", Snapshot->revision());
    Events.record({.Kind = "config.applied",
                   .Detail = std::to_string(Snapshot->revision())});
  });
}

void Daemon::listen() {
  const auto Operator = endpointOf(All.Operators.Listen);
  Operators = std::make_unique<operators::Server>(
      Operator.address().to_string(), Operator.port(), All.Operators.Tls,
      Endpoints);
  if (const std::error_code Code =
          Callers.listen(endpointOf(All.Callers.Listen)))
    throw std::runtime_error("cannot listen on " + All.Callers.Listen + ": " +
                             Code.message());
}

int Daemon::run() {
  listen();
  internal::asio::co_spawn(Io, waitForSignal(), internal::asio::detached);
  internal::asio::co_spawn(Io, prunePool(), internal::asio::detached);
  internal::asio::co_spawn(Io, Startup.run(), internal::asio::detached);
  Reader.startWatching();
  core::LogLine(core::LogLevel::Info, "vm.started")
      .field("zone", All.Vm.Zone)
      .field("callers", All.Callers.Listen)
      .field("operators", All.Operators.Listen)
      .field("policy", All.Policy);
  std::vector<std::thread> Workers;
  Workers.reserve(All.Workers);
  for (std::uint32_t Index = 0; Index < All.Workers; ++Index)
    Workers.emplace_back([this] { Io.run(); });
  for (std::thread &Worker : Workers)
    Worker.join();
  Operators.reset();
  return 0;
}

core::Awaitable<void> Daemon::waitForSignal() {
  internal::asio::signal_set Signals(Io, SIGTERM, SIGINT);
  const int Signal = co_await Signals.async_wait(internal::asio::use_awaitable);
  core::LogLine(core::LogLevel::Info, "vm.stopping").field("signal", Signal);
  co_await shutDown();
  Io.stop();
}

core::Awaitable<void> Daemon::shutDown() {
  Stopping = true;
  Reader.stopWatching();
  const callers::StopReport Report = co_await Callers.stop(
      Time.now() + std::chrono::seconds(All.ShutdownDeadlineS));
  for (const callers::CutOffRequest &Request : Report.CutOff)
    core::LogLine(core::LogLevel::Error, "request.cut_off")
        .field("request", toString(Request.Id))
        .field("service", Request.Service);
  core::LogLine(core::LogLevel::Info, "vm.stopped")
      .field("in_flight_at_stop", Report.InFlightAtStop)
      .field("finished", Report.Finished)
      .field("cut_off", Report.CutOff.size())
      .field("completed", Callers.counters().Completed);
}

core::Awaitable<void> Daemon::prunePool() {
  while (!Stopping) {
    co_await Delays.sleepUntil(Time.now() + internal::PruneInterval);
    Pool.prune();
  }
}

} // namespace jujubecart::daemon
