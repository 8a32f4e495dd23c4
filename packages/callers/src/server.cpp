#include <jujubecart/callers/server.hpp>

#include "caller_link.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <jujubecart/core/log.hpp>

namespace jujubecart::callers {

namespace asio = boost::asio;
using asio::ip::tcp;
using internal::CallerLink;
using internal::ServerState;
using StatePtr = std::shared_ptr<ServerState>;

namespace internal {

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
// Connections above the limit that are answered rather than dropped.
constexpr std::size_t RefusalReserve = 256;
constexpr std::chrono::milliseconds AcceptRetryDelay{50};
constexpr std::chrono::milliseconds StopPollInterval{10};
constexpr std::chrono::seconds TearDownTime{1};

void startLink(const StatePtr &State, tcp::socket &&Caller) {
  ++State->Counters.AcceptedConnections;
  const std::uint64_t Open = State->Counters.OpenConnections;
  if (Open >= State->Options.MaxConnections + RefusalReserve)
    return;
  const asio::any_io_executor Strand = Caller.get_executor();
  auto Link = std::make_shared<CallerLink>(State, std::move(Caller));
  {
    const std::lock_guard Lock(State->Mutex);
    State->Links.emplace(Link.get(), Link);
  }
  auto Task =
      Open >= State->Options.MaxConnections ? Link->refuse() : Link->run();
  asio::co_spawn(
      Strand, std::move(Task), [Link](const std::exception_ptr &Failure) {
        // Only a lack of memory or a defect throws; it must end one connection,
        // not the process.
        if (Failure)
          core::LogLine(core::LogLevel::Error, "callers.connection_failed");
      });
}

// Connections that the kernel has already accepted would be reset otherwise.
void drainBacklog(const StatePtr &State) {
  boost::system::error_code Code;
  State->Acceptor.non_blocking(true, Code);
  while (!Code) {
    tcp::socket Caller(asio::make_strand(State->Executor));
    State->Acceptor.accept(Caller, Code);
    if (!Code)
      startLink(State, std::move(Caller));
  }
  State->Acceptor.close(Code);
}

core::Awaitable<void> acceptLoop(StatePtr State) {
  asio::steady_timer Pause(State->Accept);
  while (!State->Stopping) {
    auto [Code, Caller] = co_await State->Acceptor.async_accept(
        asio::any_io_executor(asio::make_strand(State->Executor)), UseTuple);
    if (!Code) {
      startLink(State, std::move(Caller));
      continue;
    }
    if (State->Stopping)
      break;
    core::LogLine(core::LogLevel::Warning, "callers.accept_failed")
        .field("error", Code);
    Pause.expires_after(AcceptRetryDelay);
    co_await Pause.async_wait(UseTuple);
  }
  drainBacklog(State);
}

std::vector<std::shared_ptr<CallerLink>> links(ServerState &State) {
  std::vector<std::shared_ptr<CallerLink>> Out;
  const std::lock_guard Lock(State.Mutex);
  for (const auto &[Key, Weak] : State.Links)
    if (auto Link = Weak.lock())
      Out.push_back(std::move(Link));
  return Out;
}

template <typename Action> void forEachLink(ServerState &State, Action Do) {
  for (const auto &Link : links(State))
    asio::post(Link->socket().get_executor(), [Link, Do] { Do(*Link); });
}

} // namespace

} // namespace internal

Server::Server(asio::any_io_executor Executor, ServerOptions Options,
               ServerDependencies Uses)
    : State(std::make_shared<ServerState>(std::move(Executor), Options, Uses)) {
}

Server::~Server() {
  if (State->Stopping.exchange(true))
    return;
  asio::post(State->Accept, [State = State] {
    boost::system::error_code Ignored;
    State->Acceptor.close(Ignored);
  });
}

std::error_code Server::listen(const tcp::endpoint &Where) {
  boost::system::error_code Code;
  tcp::acceptor &Acceptor = State->Acceptor;
  Acceptor.open(Where.protocol(), Code);
  if (!Code)
    Acceptor.set_option(tcp::acceptor::reuse_address(true), Code);
  if (!Code)
    Acceptor.bind(Where, Code);
  if (!Code)
    Acceptor.listen(asio::socket_base::max_listen_connections, Code);
  if (Code)
    return Code;
  State->Port = Acceptor.local_endpoint(Code).port();
  asio::co_spawn(State->Accept, internal::acceptLoop(State), asio::detached);
  return {};
}

std::uint16_t Server::port() const noexcept { return State->Port; }

void Server::drain() noexcept { State->Draining = true; }

core::Awaitable<StopReport> Server::stop(core::TimePoint Deadline) {
  const StatePtr Held = State;
  internal::LiveCounters &Counters = Held->Counters;
  StopReport Report;
  Held->Stopping = true;
  asio::post(Held->Accept, [Held] {
    boost::system::error_code Ignored;
    Held->Acceptor.cancel(Ignored);
  });
  const core::Clock &Time = Held->Uses.Time;
  const std::uint64_t OpenBefore = Counters.OpenConnections;
  const std::uint64_t AnsweredBefore = Counters.Answered;
  Report.InFlightAtStop = Counters.InFlight;
  const core::TimePoint GraceEnd = Time.now() + Held->Options.StopIdleGrace;
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  while (Counters.OpenConnections > 0 && Time.now() < Deadline) {
    if (Time.now() >= GraceEnd)
      internal::forEachLink(*Held, [](CallerLink &Link) { Link.endIdle(); });
    Timer.expires_after(internal::StopPollInterval);
    co_await Timer.async_wait(internal::UseTuple);
  }
  for (const auto &Link : internal::links(*Held))
    if (const auto Request = Link->current())
      Report.CutOff.push_back({Request->Id, Request->Service});
  internal::forEachLink(*Held, [](CallerLink &Link) { Link.cutOff(); });
  // A request that is still being torn down uses the broker and the pool, which
  // the owner destroys after the stop.
  const core::TimePoint TornDownBy = Time.now() + internal::TearDownTime;
  while (Counters.OpenConnections > 0 && Time.now() < TornDownBy) {
    Timer.expires_after(internal::StopPollInterval);
    co_await Timer.async_wait(internal::UseTuple);
  }
  Report.Finished = Counters.Answered - AnsweredBefore - Report.CutOff.size();
  Report.ConnectionsClosed = OpenBefore - Counters.OpenConnections;
  co_return Report;
}

ServerCounters Server::counters() const noexcept {
  const internal::LiveCounters &From = State->Counters;
  ServerCounters Out{.AcceptedConnections = From.AcceptedConnections,
                     .Received = From.Received,
                     .Completed = From.Completed,
                     .Attempts = From.Attempts,
                     .Retries = From.Retries,
                     .Hedges = From.Hedges,
                     .CutResponses = From.CutResponses,
                     .InFlight = From.InFlight,
                     .OpenConnections = From.OpenConnections};
  for (std::size_t Index = 0; Index < RejectReasons; ++Index)
    Out.Rejected[Index] = From.Rejected[Index];
  return Out;
}

} // namespace jujubecart::callers
