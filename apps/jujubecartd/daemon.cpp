#include "daemon.hpp"

#include "build_info.hpp"
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
constexpr std::chrono::milliseconds SeedRetryInterval{200};
constexpr std::chrono::seconds SettingsCheckInterval{2};

std::uint64_t unixMilliseconds(const core::Clock &Time) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          Time.wallNow().time_since_epoch())
          .count());
}

std::uint64_t randomNumber() { return core::newRequestId().Value; }

std::size_t countColdServers(const core::ConfigSnapshot &Config,
                             core::TimePoint Now) {
  std::size_t Count = 0;
  for (const auto &[Name, Entry] : Config.entries())
    if (Entry->Service)
      for (const core::BackendServer &Server : Entry->Service->Servers)
        Count += Now < Server.ColdUntil;
  return Count;
}

} // namespace internal

Daemon::Daemon(operators::Settings InitialSettings,
               operators::SettingsFile WatchedFile)
    : Settings(std::move(InitialSettings)), File(std::move(WatchedFile)),
      Incarnation(internal::unixMilliseconds(Time)),
      Io(static_cast<int>(Settings.Workers)), StopSignals(Io, SIGTERM, SIGINT),
      ReloadSignals(Io, SIGHUP), Events(Time, Settings.TimelineEvents),
      LoopDelays(Time, Sleeper,
                 Metrics.summary("jujubecart_loop_delay_ms", "")),
      Store(Io.get_executor(), Settings.Store.Endpoints),
      Tickets(Store, Time, Sleeper, internal::randomNumber),
      ConfigReader(Io.get_executor(), {.Store = Store,
                                       .Table = Config,
                                       .Time = Time,
                                       .Sleeper = Sleeper,
                                       .Random = internal::randomNumber}),
      Claims(Io.get_executor(),
             {.Store = Store,
              .Config = Config,
              .Time = Time,
              .Sleeper = Sleeper,
              .Random = internal::randomNumber},
             {.Writer = Settings.Vm.Id}),
      LocalBroker(Config, Time, localPolicyName(Settings.Policy),
                  internal::randomNumber(), &Claims),
      PooledProber(Transport),
      Peers(Io.get_executor(), peerOptions(Settings, Incarnation, Time),
            {.Time = Time,
             .Events = Events,
             .Config = Config,
             .Claims = Claims,
             .Fallback = LocalBroker,
             .Prober = Settings.Directory.Enabled
                           ? static_cast<peers::HealthProber *>(&PooledProber)
                           : &HttpProber}),
      Startup(Config, ConfigReader, Peers.config(), Time, Sleeper),
      Pool(Io.get_executor(), poolOptions(Settings), Time),
      Transport(Pool, Time, profile()), Retries(retryOptions(Settings, 1)),
      Callers(Io.get_executor(), callerOptions(Settings),
              {.Time = Time,
               .Config = Config,
               .Broker = broker(),
               .Backends = Transport,
               .Events = Events,
               .Retries = Retries,
               .Profile = profile(),
               .Freshness = freshness()}),
      Endpoints(ApiEnvironment{.Settings = Settings,
                               .Io = Io,
                               .Time = Time,
                               .Config = Config,
                               .Events = Events,
                               .Metrics = Metrics,
                               .Tickets = Tickets,
                               .Callers = Callers,
                               .Peers = Peers,
                               .Stopping = Stopping,
                               .Incarnation = Incarnation,
                               .Freshness = freshness()}) {
  registerMetrics(Metrics, {.Callers = Callers,
                            .Pool = Pool,
                            .Peers = Peers,
                            .Config = Config,
                            .Events = Events,
                            .Time = Time,
                            .Freshness = freshness()});
  if (!Settings.PlatformEndpoint.empty())
    VmListPoller = std::make_unique<inventory::VmListReader>(
        Io.get_executor(), Sleeper, internal::randomNumber,
        inventory::VmListReaderSettings{.Address = Settings.PlatformEndpoint});
  Config.subscribe([this](const core::ConfigSource::Snapshot &Snapshot) {
    core::LogLine(core::LogLevel::Info, "config.applied")
        .field("revision", Snapshot->revision());
    Events.record({.Kind = "config.applied",
                   .Detail = std::to_string(Snapshot->revision())});
  });
}

const core::HttpProfile &Daemon::profile() const noexcept {
  return Settings.Directory.Enabled ? platform::httpProfile()
                                    : core::nativeHttpProfile();
}

store::FreshnessRecord *Daemon::freshness() noexcept {
  return Settings.Directory.RevokeMs == 0 ? nullptr : &Freshness;
}

core::SlotBroker &Daemon::broker() noexcept {
  if (Settings.Policy == "dispatcher")
    return Peers.broker();
  return LocalBroker;
}

void Daemon::listen() {
  const auto Operator = core::parseEndpoint(Settings.Operators.Listen).value();
  Operators = std::make_unique<operators::Server>(
      Operator.address().to_string(), Operator.port(), Settings.Operators.Tls,
      Endpoints);
  if (const std::string Problem = Peers.start(); !Problem.empty())
    throw std::runtime_error("cannot accept connections of peers on " +
                             Settings.Peers.Listen + ": " + Problem);
  if (!Settings.Peers.Advertise.empty())
    Peers.members().setAddress(Settings.Peers.Advertise);
  if (const std::error_code Code =
          Callers.listen(core::parseEndpoint(Settings.Callers.Listen).value()))
    throw std::runtime_error("cannot listen for callers on " +
                             Settings.Callers.Listen + ": " + Code.message());
}

void Daemon::startConfiguration() {
  if (!Settings.Directory.Enabled) {
    internal::asio::co_spawn(Io, connectToSeeds(), internal::asio::detached);
    internal::asio::co_spawn(Io, Startup.run(), internal::asio::detached);
    return;
  }
  const auto Strand = internal::asio::make_strand(Io);
  DirectoryStore =
      std::make_unique<platform::StoreClient>(Strand, Settings.Store.Endpoints);
  Feed = std::make_unique<store::DirectoryFeed>(
      store::DirectoryFeed::Environment{
          .Store = *DirectoryStore,
          .Codec = Codec,
          .Table = Config,
          .Time = Time,
          .Sleeper = Sleeper,
          .Random = internal::randomNumber,
          .ReaderRank = [this] { return Peers.storeRelay().readerRank(); },
          .Alone = [this] { return Peers.storeRelay().alone(); },
          .LostVms = [this] { return Peers.members().lostVms(); },
          .Broadcast =
              [this](const core::EntryChanges &Changes, core::TimePoint ReadAt,
                     std::optional<std::chrono::milliseconds> CompleteUntil) {
                Peers.storeRelay().broadcast(Changes, ReadAt, CompleteUntil);
              },
          .Ages = &Metrics.summary("jujubecart_directory_age_ms", ""),
          .OnRestart = [this] { Peers.dispatch().noteRestart(); },
          .Freshness = freshness()},
      Peers.members().self(), Settings.Directory.Zones,
      store::DirectoryFeedOptions{});
  Endpoints.setEvacuatedZones([this] { return Feed->evacuatedZoneNames(); });
  Metrics.gauge("jujubecart_evacuated_zones", "",
                [this] { return static_cast<double>(Feed->evacuatedZones()); });
  Metrics.gauge("jujubecart_cold_servers", "", [this] {
    return static_cast<double>(
        internal::countColdServers(*Config.current(), Time.now()));
  });
  Feed->setMemberHandler([this](const std::vector<core::Member> &Vms) {
    Peers.members().update(Vms);
  });
  Peers.storeRelay().setChangeHandler(
      [this, Strand](const core::ReportedChanges &Report) {
        internal::asio::post(Strand,
                             [this, Report] { Feed->applyFromPeer(Report); });
      });
  internal::asio::co_spawn(Strand, Feed->run(), internal::asio::detached);
  internal::asio::co_spawn(Strand, Feed->keepRegistered(),
                           internal::asio::detached);
}

void Daemon::waitForReloadSignal() {
  ReloadSignals.async_wait(
      [this](const boost::system::error_code &Code, int /*Signal*/) {
        if (Code)
          return;
        validateSettings();
        waitForReloadSignal();
      });
}

// Detects files that are replaced without a SIGHUP.
core::Awaitable<void> Daemon::watchSettings() {
  while (!Stopping) {
    co_await Sleeper.sleepUntil(Time.now() + internal::SettingsCheckInterval);
    if (File.checkForChange())
      validateSettings();
  }
}

// Only validates the file and logs the result. New settings take effect after a
// restart, since listeners and identity cannot change while calls are in
// flight.
void Daemon::validateSettings() const {
  core::Findings Report(File.path());
  const operators::Settings Reloaded =
      operators::readSettingsFile(File.path(), Report);
  core::LogLine(core::LogLevel::Info, "settings.reloaded")
      .field("valid", Report.empty() ? "yes" : "no")
      .field("changed", Reloaded == Settings ? "no" : "after restart")
      .field("reason", Report.text());
}

int Daemon::run() {
  listen();
  waitForReloadSignal();
  waitForStopSignal();
  internal::asio::co_spawn(Io, watchSettings(), internal::asio::detached);
  internal::asio::co_spawn(Io, maintain(), internal::asio::detached);
  internal::asio::co_spawn(Io, LoopDelays.run(Stopping),
                           internal::asio::detached);
  startConfiguration();
  if (VmListPoller)
    VmListPoller->start([this](const inventory::VmList &List) {
      Peers.members().update(List.EntryVms);
    });
  core::LogLine(core::LogLevel::Info, "vm.started")
      .field("zone", Settings.Vm.Zone)
      .field("callers", Settings.Callers.Listen)
      .field("operators", Settings.Operators.Listen)
      .field("policy", Settings.Policy)
      .field("version", productVersion())
      .field("sources", sourceDigest());
  std::vector<std::thread> Workers;
  Workers.reserve(Settings.Workers);
  for (std::uint32_t Index = 0; Index < Settings.Workers; ++Index)
    Workers.emplace_back([this] { Io.run(); });
  for (std::thread &Worker : Workers)
    Worker.join();
  Operators.reset();
  Peers.stop();
  return 0;
}

void Daemon::waitForStopSignal() {
  StopSignals.async_wait([this](const boost::system::error_code &Code,
                                int Signal) {
    if (Code)
      return;
    core::LogLine(core::LogLevel::Info, "vm.stopping").field("signal", Signal);
    internal::asio::co_spawn(Io, shutDown(),
                             [this](const std::exception_ptr &) { Io.stop(); });
  });
}

core::Awaitable<void> Daemon::shutDown() {
  Stopping = true;
  ConfigReader.stopWatching();
  if (VmListPoller)
    VmListPoller->stop();
  Peers.leave();
  if (Feed)
    Feed->stop();
  const core::TimePoint Deadline = Time.now() + shutdownTimeout(Settings);
  // The platform's load balancer opens new connections until two of its
  // readiness checks have failed.
  const core::TimePoint LeaveAt = Time.now() + leaveDuration(Settings);
  Callers.drain({.LeaveAt = LeaveAt, .CutOffAt = Deadline});
  co_await Sleeper.sleepUntil(LeaveAt);
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
    if (!Settings.Directory.Enabled &&
        shouldWatchStore(Members, Settings.Vm.Id, Time.wallNow()))
      ConfigReader.startWatching();
    else
      ConfigReader.stopWatching();
    Pool.setFleetSize(static_cast<std::uint32_t>(Members.size()));
    Retries.setMaxSaved(retryOptions(Settings, Members.size()).MaxSaved);
    Pool.prune();
    co_await Sleeper.sleepUntil(Time.now() + internal::MaintenanceInterval);
  }
}

core::Awaitable<void> Daemon::connectToSeeds() {
  while (!Stopping) {
    if (Peers.members().members().size() <= 1)
      for (const std::string &Seed : Settings.Peers.Seeds)
        Peers.links().connectSeed(Seed);
    co_await Sleeper.sleepUntil(Time.now() + internal::SeedRetryInterval);
  }
}

} // namespace jujubecart::daemon
