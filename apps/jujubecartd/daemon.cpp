#include "daemon.hpp"

#include "daemon_metrics.hpp"
#include "daemon_options.hpp"
#include "watch_rotation.hpp"

#include <jujubecart/core/endpoint.hpp>
#include <jujubecart/operators/settings_reader.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <stdexcept>
#include <thread>

namespace jujubecart::daemon {

namespace internal {

namespace asio = boost::asio;

constexpr std::chrono::seconds MaintenanceInterval{1};
constexpr std::chrono::milliseconds SeedInterval{200};
constexpr std::chrono::seconds SettingsInterval{2};

std::uint64_t unixMilliseconds(const core::Clock &Time) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          Time.wallNow().time_since_epoch())
          .count());
}

std::uint64_t randomNumber() { return core::newRequestId().Value; }

} // namespace internal

Daemon::Daemon(operators::Settings Given, operators::SettingsFile Source)
    : All(std::move(Given)), File(std::move(Source)),
      Incarnation(internal::unixMilliseconds(Time)),
      Io(static_cast<int>(All.Workers)), Signals(Io, SIGTERM, SIGINT),
      Reload(Io, SIGHUP), Events(Time, All.TimelineEvents),
      Store(Io.get_executor(), All.Store.Endpoints),
      Tickets(Store, Time, Delays, internal::randomNumber),
      Reader(Io.get_executor(), {.Store = Store,
                                 .Table = Config,
                                 .Time = Time,
                                 .Delays = Delays,
                                 .Random = internal::randomNumber}),
      Claims(Io.get_executor(),
             {.Store = Store,
              .Config = Config,
              .Time = Time,
              .Delays = Delays,
              .Random = internal::randomNumber},
             {.Writer = All.Vm.Id}),
      Local(Config, Time, localPolicy(All.Policy), internal::randomNumber(),
            &Claims),
      LoadProbes(Transport),
      Peers(Io.get_executor(), peerOptions(All, Incarnation),
            {.Time = Time,
             .Events = Events,
             .Config = Config,
             .Claims = Claims,
             .Fallback = Local,
             .Prober = All.Directory.Enabled
                           ? static_cast<peers::HealthProber *>(&LoadProbes)
                           : &Prober}),
      Startup(Config, Reader, Peers.config(), Time, Delays),
      Pool(Io.get_executor(), poolOptions(All), Time),
      Transport(Pool, Time, profile()),
      Callers(Io.get_executor(), callerOptions(All),
              {.Time = Time,
               .Config = Config,
               .Broker = broker(),
               .Backends = Transport,
               .Events = Events,
               .Retries = Retries,
               .Profile = profile()}),
      Endpoints(ApiParts{.All = All,
                         .Io = Io,
                         .Time = Time,
                         .Config = Config,
                         .Events = Events,
                         .Metrics = Metrics,
                         .Tickets = Tickets,
                         .Callers = Callers,
                         .Peers = Peers,
                         .Stopping = Stopping,
                         .Incarnation = Incarnation}) {
  registerMetrics(Metrics, {.Callers = Callers,
                            .Pool = Pool,
                            .Peers = Peers,
                            .Config = Config,
                            .Events = Events});
  if (!All.PlatformEndpoint.empty())
    Platform = std::make_unique<inventory::VmListReader>(
        Io.get_executor(), Delays, internal::randomNumber,
        inventory::VmListReaderSettings{.Address = All.PlatformEndpoint});
  Config.subscribe([this](const core::ConfigSource::Snapshot &Snapshot) {
    core::LogLine(core::LogLevel::Info, "config.applied")
        .field("revision", Snapshot->revision());
    Events.record({.Kind = "config.applied",
                   .Detail = std::to_string(Snapshot->revision())});
  });
}

const core::HttpProfile &Daemon::profile() const noexcept {
  return All.Directory.Enabled ? platform::httpProfile()
                               : core::nativeHttpProfile();
}

core::SlotBroker &Daemon::broker() noexcept {
  if (All.Policy == "dispatcher")
    return Peers.broker();
  return Local;
}

void Daemon::listen() {
  const auto Operator = core::parseEndpoint(All.Operators.Listen).value();
  Operators = std::make_unique<operators::Server>(
      Operator.address().to_string(), Operator.port(), All.Operators.Tls,
      Endpoints);
  if (const std::string Problem = Peers.start(); !Problem.empty())
    throw std::runtime_error("cannot serve peers on " + All.Peers.Listen +
                             ": " + Problem);
  if (!All.Peers.Advertise.empty())
    Peers.members().setAddress(All.Peers.Advertise);
  if (const std::error_code Code =
          Callers.listen(core::parseEndpoint(All.Callers.Listen).value()))
    throw std::runtime_error("cannot listen on " + All.Callers.Listen + ": " +
                             Code.message());
}

void Daemon::startConfiguration() {
  if (!All.Directory.Enabled) {
    internal::asio::co_spawn(Io, joinSeeds(), internal::asio::detached);
    internal::asio::co_spawn(Io, Startup.run(), internal::asio::detached);
    return;
  }
  const auto Strand = internal::asio::make_strand(Io);
  DirectoryStore =
      std::make_unique<platform::StoreClient>(Strand, All.Store.Endpoints);
  Feed = std::make_unique<store::DirectoryFeed>(
      store::DirectoryFeed::Environment{
          .Store = *DirectoryStore,
          .Codec = Codec,
          .Table = Config,
          .Time = Time,
          .Delays = Delays,
          .Random = internal::randomNumber,
          .ReaderRank = [this] { return Peers.storeRelay().readerRank(); },
          .Share =
              [this](const core::EntryChanges &Changes) {
                Peers.storeRelay().share(Changes);
              }},
      Peers.members().self(), All.Directory.Zones,
      store::DirectoryFeedOptions{});
  Feed->onMembers([this](const std::vector<core::Member> &Vms) {
    Peers.members().update(Vms);
  });
  Peers.storeRelay().onChanges([this,
                                Strand](const core::EntryChanges &Changes) {
    internal::asio::post(Strand, [this, Changes] { Feed->receive(Changes); });
  });
  internal::asio::co_spawn(Strand, Feed->run(), internal::asio::detached);
  internal::asio::co_spawn(Strand, Feed->keepRegistered(),
                           internal::asio::detached);
}

void Daemon::waitForReload() {
  Reload.async_wait(
      [this](const boost::system::error_code &Code, int /*Signal*/) {
        if (Code)
          return;
        checkSettings();
        waitForReload();
      });
}

// The file may also be replaced without a signal.
core::Awaitable<void> Daemon::watchSettings() {
  while (!Stopping) {
    co_await Delays.sleepUntil(Time.now() + internal::SettingsInterval);
    if (File.changed())
      checkSettings();
  }
}

// Listeners and identity cannot change while calls are in flight.
void Daemon::checkSettings() const {
  core::Findings Report(File.path());
  const operators::Settings Fresh =
      operators::readSettingsFile(File.path(), Report);
  core::LogLine(core::LogLevel::Info, "settings.reloaded")
      .field("valid", Report.empty() ? "yes" : "no")
      .field("changed", Fresh == All ? "no" : "after restart")
      .field("reason", Report.text());
}

int Daemon::run() {
  listen();
  waitForReload();
  waitForSignal();
  internal::asio::co_spawn(Io, watchSettings(), internal::asio::detached);
  internal::asio::co_spawn(Io, maintain(), internal::asio::detached);
  startConfiguration();
  if (Platform)
    Platform->start([this](const inventory::VmList &List) {
      Peers.members().update(List.Entries);
    });
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
  Peers.stop();
  return 0;
}

void Daemon::waitForSignal() {
  Signals.async_wait([this](const boost::system::error_code &Code, int Signal) {
    if (Code)
      return;
    core::LogLine(core::LogLevel::Info, "vm.stopping").field("signal", Signal);
    internal::asio::co_spawn(Io, shutDown(),
                             [this](const std::exception_ptr &) { Io.stop(); });
  });
}

core::Awaitable<void> Daemon::shutDown() {
  Stopping = true;
  Reader.stopWatching();
  if (Platform)
    Platform->stop();
  Peers.leave();
  if (Feed)
    Feed->stop();
  const core::TimePoint Deadline = Time.now() + shutdownTime(All);
  // The balancer sends new connections until it has seen two refusals.
  Callers.drain();
  co_await Delays.sleepUntil(Time.now() + leaveTime(All));
  const callers::StopReport Report = co_await Callers.stop(Deadline);
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

core::Awaitable<void> Daemon::maintain() {
  while (!Stopping) {
    const std::vector<core::Member> Members = Peers.members().members();
    if (!All.Directory.Enabled &&
        watchesStore(Members, All.Vm.Id, Time.wallNow()))
      Reader.startWatching();
    else
      Reader.stopWatching();
    Pool.setFleetSize(static_cast<std::uint32_t>(Members.size()));
    Pool.prune();
    co_await Delays.sleepUntil(Time.now() + internal::MaintenanceInterval);
  }
}

core::Awaitable<void> Daemon::joinSeeds() {
  while (!Stopping) {
    if (Peers.members().members().size() <= 1)
      for (const std::string &Seed : All.Peers.Seeds)
        Peers.links().connectSeed(Seed);
    co_await Delays.sleepUntil(Time.now() + internal::SeedInterval);
  }
}

} // namespace jujubecart::daemon
