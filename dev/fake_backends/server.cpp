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

// Reports are five sampling periods of 100 ms old.
constexpr std::size_t SamplesKept = 6;

constexpr std::chrono::milliseconds DrainBound{3000};
constexpr std::chrono::milliseconds FailFastBound{300};

} // namespace

Server::Server(asio::io_context &Context, ServerOptions Options, Record &Runs)
    : Options(std::move(Options)), Runs(Runs),
      Acceptor(listen(Context, this->Options.Listen)), SpeedTimer(Context) {}

std::string Server::address() const {
  return endpointText(Acceptor.local_endpoint());
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
    Counts.MostOpen = std::max(Counts.MostOpen, ++Counts.Open);
    auto Peer = std::make_shared<Connection>(std::move(Socket), *this,
                                             NextGeneration++);
    asio::co_spawn(Acceptor.get_executor(), Connection::run(Peer),
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
  Item->Remaining = Options.Times.of(Item->Draw);
  if (Running.size() < Options.Slots)
    start(Item);
  else
    Queue.push_back(Item);
  return true;
}

void Server::start(const std::shared_ptr<Job> &Item) {
  Item->Running = true;
  Item->RecordIndex = Runs.start(Item->Draw, Item->OrderKey, Options.Id);
  Item->Since = steady_clock::now();
  Running.push_back(Item);
  schedule(Item);
}

void Server::schedule(const std::shared_ptr<Job> &Item) {
  const auto Left = std::chrono::duration_cast<std::chrono::nanoseconds>(
      Item->Remaining * Speed);
  // Setting the expiry cancels the wait that was scheduled at another speed.
  Item->Timer.expires_at(Item->Since + Left);
  Item->Timer.async_wait([this, Item](boost::system::error_code Code) {
    if (!Code && Item->Running)
      finish(Item);
  });
}

void Server::finish(const std::shared_ptr<Job> &Item) {
  // A wait that had expired before the speed changed is still delivered.
  if (steady_clock::now() < Item->Timer.expiry())
    return;
  Item->Running = false;
  Item->Finished = true;
  std::erase(Running, Item);
  Runs.end(Item->RecordIndex, RunEnd::Completed);
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
  Runs.end(Item->RecordIndex, RunEnd::Cancelled);
  startNext();
}

void Server::applySpeed(double Slowdown) {
  const auto Now = steady_clock::now();
  for (const std::shared_ptr<Job> &Item : Running) {
    const auto Worked = std::chrono::duration_cast<std::chrono::nanoseconds>(
        (Now - Item->Since) / Speed);
    Item->Remaining =
        std::max(Item->Remaining - Worked, std::chrono::nanoseconds(0));
    Item->Since = Now;
  }
  Speed = Slowdown;
  for (const std::shared_ptr<Job> &Item : Running)
    schedule(Item);
}

void Server::slow(double Slowdown, std::chrono::milliseconds Length) {
  applySpeed(Slowdown);
  SpeedTimer.cancel();
  if (Length.count() == 0)
    return;
  SpeedTimer.expires_after(Length);
  SpeedTimer.async_wait([this](boost::system::error_code Code) {
    if (!Code)
      applySpeed(1.0);
  });
}

void Server::drain(bool On) {
  Faults.Drain = On;
  DrainSince = steady_clock::now();
}

void Server::failFast(bool On) {
  Faults.FailFast = On;
  FailFastSince = steady_clock::now();
}

void Server::sample() {
  Samples.push_back({Running.size() + Queue.size(), Faults.Drain, Speed > 1.0});
  if (Samples.size() > SamplesKept)
    Samples.pop_front();
}

void Server::noteArrival() {
  ++Counts.Arrivals;
  if (Faults.FailFast && steady_clock::now() - FailFastSince > FailFastBound)
    ++Counts.AfterFailFast300ms;
  if (!Faults.Drain)
    return;
  const auto Since = steady_clock::now() - DrainSince;
  Counts.LastArrivalAfterDrainMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(Since).count();
  if (Since > DrainBound)
    ++Counts.AfterDrain3s;
}

void Server::noteProbe() {
  ++ProbesPerSecond[std::chrono::duration_cast<std::chrono::seconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count()];
}

std::size_t Server::reportedLoad() const noexcept {
  return Samples.empty() || Faults.Lie ? 0 : Samples.front().InFlight;
}

bool Server::reportedDrain() const noexcept {
  return !Samples.empty() && !Faults.Lie && Samples.front().Drain;
}

nlohmann::json Server::health() const {
  const bool Cold = !Samples.empty() && !Faults.Lie && Samples.front().Cold;
  return {{"state", reportedDrain() ? "draining"
                    : Cold          ? "cold"
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
          {"most_open", Counts.MostOpen},
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
