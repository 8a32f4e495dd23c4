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
// Connections above MaxConnections that are answered with 503; further ones are
// closed without a response.
constexpr std::size_t MaxRefusedConnections = 256;
constexpr std::chrono::milliseconds AcceptRetryDelay{50};
constexpr std::chrono::milliseconds StopPollInterval{10};
// Limit of the wait for requests to end after the deadline of a stop.
constexpr std::chrono::seconds MaxTearDownTime{1};

void startLink(const StatePtr &State, tcp::socket &&Caller) {
  ++State->Counters.AcceptedConnections;
  const std::uint64_t Open = State->Counters.OpenConnections;
  if (Open >= State->Options.MaxConnections + MaxRefusedConnections)
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
        // Only a failed allocation or a bug throws. The exception must end one
        // connection, not the process.
        if (Failure)
          core::LogLine(core::LogLevel::Error, "callers.connection_failed");
      });
}

// Accepts the connections that are waiting in the kernel's backlog, which would
// be reset by closing the acceptor.
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
  asio::steady_timer Pause(State->AcceptExecutor);
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

std::vector<std::shared_ptr<CallerLink>> openLinks(ServerState &State) {
  std::vector<std::shared_ptr<CallerLink>> Out;
  const std::lock_guard Lock(State.Mutex);
  for (const auto &[Key, Weak] : State.Links)
    if (auto Link = Weak.lock())
      Out.push_back(std::move(Link));
  return Out;
}

// Runs an action for each open connection, on the strand of the connection.
template <typename Action> void forEachLink(ServerState &State, Action Do) {
  for (const auto &Link : openLinks(State))
    asio::post(Link->socket().get_executor(), [Link, Do] { Do(*Link); });
}

} // namespace

} // namespace internal

Server::Server(asio::any_io_executor Executor, ServerOptions Options,
               ServerDependencies Dependencies)
    : State(std::make_shared<ServerState>(std::move(Executor), Options,
                                          Dependencies)) {}

Server::~Server() {
  if (State->Stopping.exchange(true))
    return;
  asio::post(State->AcceptExecutor, [State = State] {
    boost::system::error_code Ignored;
    State->Acceptor.close(Ignored);
  });
}

std::error_code Server::listen(const tcp::endpoint &Endpoint) {
  boost::system::error_code Code;
  tcp::acceptor &Acceptor = State->Acceptor;
  Acceptor.open(Endpoint.protocol(), Code);
  if (!Code)
    Acceptor.set_option(tcp::acceptor::reuse_address(true), Code);
  if (!Code)
    Acceptor.bind(Endpoint, Code);
  if (!Code)
    Acceptor.listen(asio::socket_base::max_listen_connections, Code);
  if (Code)
    return Code;
  State->Port = Acceptor.local_endpoint(Code).port();
  asio::co_spawn(State->AcceptExecutor, internal::acceptLoop(State),
                 asio::detached);
  return {};
}

std::uint16_t Server::port() const noexcept { return State->Port; }

void Server::drain(const StopSchedule &Schedule) {
  State->setSchedule(Schedule);
  State->Draining = true;
  internal::forEachLink(*State, [](CallerLink &Link) { Link.beginStop(); });
}

core::Awaitable<StopReport> Server::stop(core::TimePoint Deadline) {
  // Keeps the state alive if the Server is destroyed during the stop.
  const StatePtr KeptState = State;
  internal::LiveCounters &Counters = KeptState->Counters;
  StopReport Report;
  const core::Clock &Time = KeptState->Dependencies.Time;
  KeptState->setSchedule({.LeaveAt = Time.now(), .CutOffAt = Deadline});
  KeptState->Stopping = true;
  internal::forEachLink(*KeptState, [](CallerLink &Link) { Link.beginStop(); });
  asio::post(KeptState->AcceptExecutor, [KeptState] {
    boost::system::error_code Ignored;
    KeptState->Acceptor.cancel(Ignored);
  });
  const std::uint64_t OpenBefore = Counters.OpenConnections;
  const std::uint64_t AnsweredBefore = Counters.Answered;
  Report.InFlightAtStop = Counters.InFlight;
  const core::TimePoint GraceEnd =
      Time.now() + KeptState->Options.StopIdleGrace;
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  while (Counters.OpenConnections > 0 && Time.now() < Deadline) {
    if (Time.now() >= GraceEnd)
      internal::forEachLink(*KeptState,
                            [](CallerLink &Link) { Link.closeIfIdle(); });
    Timer.expires_after(internal::StopPollInterval);
    co_await Timer.async_wait(internal::UseTuple);
  }
  for (const auto &Link : internal::openLinks(*KeptState))
    if (const auto Request = Link->inFlight())
      Report.CutOff.push_back({Request->Id, Request->Service});
  internal::forEachLink(*KeptState, [](CallerLink &Link) { Link.cutOff(); });
  // Requests that are still ending use the broker and the connection pool,
  // which the owner destroys after the stop, so wait for them.
  const core::TimePoint TearDownEnd = Time.now() + internal::MaxTearDownTime;
  while (Counters.OpenConnections > 0 && Time.now() < TearDownEnd) {
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
                     .TruncatedResponses = From.TruncatedResponses,
                     .ReplacedStatuses = From.ReplacedStatuses,
                     .InFlight = From.InFlight,
                     .OpenConnections = From.OpenConnections};
  for (std::size_t Index = 0; Index < RejectReasonCount; ++Index)
    Out.Rejected[Index] = From.Rejected[Index];
  for (std::size_t Index = 0; Index < CloseStageCount; ++Index)
    Out.Closes[Index] = From.Closes[Index];
  return Out;
}

} // namespace jujubecart::callers
