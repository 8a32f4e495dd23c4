#include "fake_backends/server.hpp"

#include "common/endpoint.hpp"
#include "fake_backends/connection.hpp"
#include "fake_backends/record.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace jujubecart::dev {

namespace asio = boost::asio;
using std::chrono::steady_clock;

namespace {

// Reported state is five sampling periods of 100 ms old: the front of six
// samples.
constexpr std::size_t MaxSamples = 6;

// Requests that arrive later than this after the start of draining or failing
// fast are counted separately.
constexpr std::chrono::milliseconds DrainGracePeriod{3000};
constexpr std::chrono::milliseconds FailFastGracePeriod{300};

} // namespace

Server::Server(asio::io_context &Context, ServerOptions Options,
               RunRecord &Runs)
    : Options(std::move(Options)), Runs(Runs),
      Acceptor(listen(Context, this->Options.Listen)), SlowdownTimer(Context) {}

std::string Server::address() const {
  return formatEndpoint(Acceptor.local_endpoint());
}

asio::awaitable<void> Server::accept() {
  while (Acceptor.is_open()) {
    boost::system::error_code Code;
    asio::ip::tcp::socket Socket = co_await Acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, Code));
    if (Code)
      continue;
    Socket.set_option(asio::ip::tcp::no_delay(true), Code);
    ++Counts.Opened;
    Counts.MaxOpen = std::max(Counts.MaxOpen, ++Counts.Open);
    auto Accepted = std::make_shared<Connection>(std::move(Socket), *this,
                                                 NextGeneration++);
    asio::co_spawn(Acceptor.get_executor(), Connection::run(Accepted),
                   asio::detached);
  }
}

bool Server::submit(const std::shared_ptr<Job> &Item) {
  const bool Full =
      Running.size() >= Options.Slots && Queue.size() >= Options.QueueLimit;
  if (Faults.FailFast || Full) {
    ++Counts.Rejected;
    return false;
  }
  Item->Remaining = Options.ServiceTimes.forDraw(Item->Draw);
  if (Running.size() < Options.Slots)
    start(Item);
  else
    Queue.push_back(Item);
  return true;
}

void Server::start(const std::shared_ptr<Job> &Item) {
  Item->Running = true;
  Item->RecordIndex = Runs.start(Item->Draw, Item->OrderKey, Options.Id);
  Item->ProgressSince = steady_clock::now();
  Running.push_back(Item);
  schedule(Item);
}

void Server::schedule(const std::shared_ptr<Job> &Item) {
  const auto Delay = std::chrono::duration_cast<std::chrono::nanoseconds>(
      Item->Remaining * SlowdownFactor);
  // Setting the expiry cancels the wait for the previous slowdown factor.
  Item->Timer.expires_at(Item->ProgressSince + Delay);
  Item->Timer.async_wait([this, Item](boost::system::error_code Code) {
    if (!Code && Item->Running)
      finish(Item);
  });
}

void Server::finish(const std::shared_ptr<Job> &Item) {
  // A handler that was already queued when the slowdown factor changed still
  // runs; the later expiry gets its own wait.
  if (steady_clock::now() < Item->Timer.expiry())
    return;
  Item->Running = false;
  Item->Finished = true;
  std::erase(Running, Item);
  Runs.finish(Item->RecordIndex, RunEnd::Completed);
  ++Counts.Completed;
  startNext();
  Item->Done();
}

void Server::startNext() {
  if (Queue.empty() || Running.size() >= Options.Slots)
    return;
  const std::shared_ptr<Job> Next = std::move(Queue.front());
  Queue.pop_front();
  start(Next);
}

void Server::cancel(const std::shared_ptr<Job> &Item) {
  if (Item->Finished)
    return;
  Item->Finished = true;
  ++Counts.Cancelled;
  if (!Item->Running) {
    std::erase(Queue, Item);
    return;
  }
  Item->Running = false;
  Item->Timer.cancel();
  std::erase(Running, Item);
  Runs.finish(Item->RecordIndex, RunEnd::Cancelled);
  startNext();
}

void Server::applySlowdown(double Factor) {
  const auto Now = steady_clock::now();
  for (const std::shared_ptr<Job> &Item : Running) {
    const auto Progress = std::chrono::duration_cast<std::chrono::nanoseconds>(
        (Now - Item->ProgressSince) / SlowdownFactor);
    Item->Remaining =
        std::max(Item->Remaining - Progress, std::chrono::nanoseconds(0));
    Item->ProgressSince = Now;
  }
  SlowdownFactor = Factor;
  for (const std::shared_ptr<Job> &Item : Running)
    schedule(Item);
}

void Server::slowDown(double Factor, std::chrono::milliseconds Duration) {
  applySlowdown(Factor);
  SlowdownTimer.cancel();
  if (Duration.count() == 0)
    return;
  SlowdownTimer.expires_after(Duration);
  SlowdownTimer.async_wait([this](boost::system::error_code Code) {
    if (!Code)
      applySlowdown(1.0);
  });
}

void Server::setDraining(bool Enabled) {
  Faults.Draining = Enabled;
  DrainStart = steady_clock::now();
}

void Server::setFailFast(bool Enabled) {
  Faults.FailFast = Enabled;
  FailFastStart = steady_clock::now();
}

void Server::sampleLoad() {
  Samples.push_back(
      {Running.size() + Queue.size(), Faults.Draining, SlowdownFactor > 1.0});
  if (Samples.size() > MaxSamples)
    Samples.pop_front();
}

void Server::countArrival() {
  ++Counts.Arrivals;
  if (Faults.FailFast &&
      steady_clock::now() - FailFastStart > FailFastGracePeriod)
    ++Counts.AfterFailFast300ms;
  if (!Faults.Draining)
    return;
  const auto Elapsed = steady_clock::now() - DrainStart;
  Counts.LastArrivalAfterDrainMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(Elapsed).count();
  if (Elapsed > DrainGracePeriod)
    ++Counts.AfterDrain3s;
}

void Server::countProbe() {
  ++ProbesPerSecond[std::chrono::duration_cast<std::chrono::seconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count()];
}

std::size_t Server::reportedLoad() const noexcept {
  return Samples.empty() || Faults.HideState ? 0 : Samples.front().InFlight;
}

bool Server::reportedDrain() const noexcept {
  return !Samples.empty() && !Faults.HideState && Samples.front().Draining;
}

nlohmann::json Server::health() const {
  const bool Slowed =
      !Samples.empty() && !Faults.HideState && Samples.front().Slowed;
  return {{"state", reportedDrain() ? "draining"
                    : Slowed        ? "cold"
                                    : "ok"},
          {"in_flight", reportedLoad()}};
}

nlohmann::json Server::stats() const {
  nlohmann::json Probes = nlohmann::json::array();
  for (const auto &[Second, Count] : ProbesPerSecond)
    Probes.push_back({Second, Count});
  return {{"service", Options.Service},
          {"opened", Counts.Opened},
          {"open", Counts.Open},
          {"most_open", Counts.MaxOpen},
          {"arrivals", Counts.Arrivals},
          {"rejected", Counts.Rejected},
          {"completed", Counts.Completed},
          {"cancelled", Counts.Cancelled},
          {"malformed", Counts.Malformed},
          {"in_flight", Running.size() + Queue.size()},
          {"failfast_arrivals_after_300ms", Counts.AfterFailFast300ms},
          {"after_drain_3s", Counts.AfterDrain3s},
          {"last_arrival_after_drain_ms", Counts.LastArrivalAfterDrainMs},
          {"probes", Probes}};
}

} // namespace jujubecart::dev
