#include "harness.hpp"

#include <algorithm>
#include <cctype>

namespace jujubecart::test {

core::Awaitable<core::Result<core::SlotGrant>>
FirstServerBroker::acquire(core::SlotRequest Request) {
  const auto Snapshot = Config.current();
  if (Granted >= MaxGrants) {
    const auto Never = std::make_shared<asio::steady_timer>(
        co_await asio::this_coro::executor, core::TimePoint::max());
    {
      const std::lock_guard Lock(Mutex);
      Waits.emplace(Request.Request.Value, Never);
    }
    ++Waiting;
    co_await Never->async_wait(asio::as_tuple(asio::use_awaitable));
    --Waiting;
    co_return core::make_error_code(core::Error::Cancelled);
  }
  const std::lock_guard Lock(Mutex);
  Received.push_back(Request);
  if (QuotaUsed) {
    Request.Hint->RetryAt = core::SystemClock().now() + 1500ms;
    co_return core::make_error_code(core::Error::QuotaExceeded);
  }
  if (Request.Key) {
    const auto [Claim, New] = Claims.emplace(*Request.Key, Request.Request);
    if (!New && Claim->second != Request.Request)
      co_return core::make_error_code(core::Error::OrderRepeated);
  }
  const core::ServiceConfig *Service = Snapshot->find(Request.Service);
  for (const core::BackendServer &Server : Service->Servers) {
    if (std::find(Request.Excluded.begin(), Request.Excluded.end(),
                  Server.Id) != Request.Excluded.end())
      continue;
    ++Granted;
    co_return core::SlotGrant{
        .Id = static_cast<std::uint64_t>(Granted),
        .Group = Request.Service,
        .Server = Server,
        .HedgeAt = HedgeDelay ? core::SystemClock().now() + *HedgeDelay
                              : core::TimePoint::max()};
  }
  co_return core::make_error_code(core::Error::Unavailable);
}

void FirstServerBroker::cancel(core::RequestId Request) noexcept {
  ++Cancels;
  const std::lock_guard Lock(Mutex);
  const auto [Begin, End] = Waits.equal_range(Request.Value);
  for (auto At = Begin; At != End; ++At)
    asio::post(At->second->get_executor(),
               [Timer = At->second] { Timer->cancel(); });
  Waits.erase(Begin, End);
}

bool FirstServerBroker::permits(const core::SlotGrant &Grant) const noexcept {
  const std::lock_guard Lock(Mutex);
  return !Avoided.contains(Grant.Server.Id);
}

void FirstServerBroker::avoid(const std::string &Server) {
  const std::lock_guard Lock(Mutex);
  Avoided.insert(Server);
}

void FirstServerBroker::release(const core::SlotGrant &,
                                const core::CallReport &Report) noexcept {
  const std::lock_guard Lock(Mutex);
  Outcomes.push_back(Report.Outcome);
}

void FirstServerBroker::releaseClaim(const std::string &, core::OrderKey Key,
                                     core::RequestId Request) noexcept {
  const std::lock_guard Lock(Mutex);
  const auto Claim = Claims.find(Key);
  if (Claim != Claims.end() && Claim->second == Request)
    Claims.erase(Claim);
  ++ClaimsReleased;
}

std::vector<core::SlotRequest> FirstServerBroker::slotRequests() {
  const std::lock_guard Lock(Mutex);
  return Received;
}

std::vector<core::CallOutcome> FirstServerBroker::outcomes() {
  const std::lock_guard Lock(Mutex);
  return Outcomes;
}

void EventRecorder::record(core::Event Item) noexcept {
  const std::lock_guard Lock(Mutex);
  ++CountByKind[Item.Kind];
}

int EventRecorder::count(const std::string &Kind) {
  const std::lock_guard Lock(Mutex);
  return CountByKind[Kind];
}

ScriptedBackend::ScriptedBackend(Script Behaviour)
    : Behaviour(std::move(Behaviour)),
      Acceptor(Io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      Thread([this] { accept(); }) {}

ScriptedBackend::~ScriptedBackend() {
  Closing = true;
  boost::system::error_code Ignored;
  // Makes the blocking accept return.
  tcp::socket Wake(Io);
  Wake.connect(Acceptor.local_endpoint(), Ignored);
  Thread.join();
  for (const auto &Socket : Sockets)
    Socket->shutdown(tcp::socket::shutdown_both, Ignored);
  for (std::thread &Handler : Handlers)
    Handler.join();
}

std::string ScriptedBackend::address() const {
  return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
}

std::vector<std::string> ScriptedBackend::requests() {
  const std::lock_guard Lock(Mutex);
  return Requests;
}

void ScriptedBackend::accept() {
  while (true) {
    const auto Socket = std::make_shared<tcp::socket>(Io);
    boost::system::error_code Code;
    Acceptor.accept(*Socket, Code);
    if (Closing || Code)
      return;
    const int Index = Accepted++;
    Sockets.push_back(Socket);
    Handlers.emplace_back([this, Socket, Index] {
      Behaviour(*Socket, Index);
      // Ends the connection but keeps the descriptor open, because the
      // destructor may use the socket at the same time.
      boost::system::error_code Ignored;
      Socket->shutdown(tcp::socket::shutdown_both, Ignored);
    });
  }
}

std::string ScriptedBackend::readRequest(tcp::socket &From) {
  std::string Bytes;
  boost::system::error_code Code;
  const std::size_t Head =
      asio::read_until(From, asio::dynamic_buffer(Bytes), "\r\n\r\n", Code);
  if (Code)
    return {};
  const std::size_t Field = Bytes.find("Content-Length: ");
  if (Field < Head) {
    const std::size_t Size = std::stoul(Bytes.substr(Field + 16));
    if (Bytes.size() < Head + Size)
      asio::read(From, asio::dynamic_buffer(Bytes),
                 asio::transfer_exactly(Head + Size - Bytes.size()), Code);
  } else if (Bytes.find("Transfer-Encoding: chunked") < Head &&
             Bytes.find("0\r\n\r\n", Head) == std::string::npos) {
    asio::read_until(From, asio::dynamic_buffer(Bytes), "\r\n0\r\n\r\n", Code);
  }
  const std::lock_guard Lock(Mutex);
  Requests.push_back(Bytes);
  return Bytes;
}

Harness::Harness(const std::vector<std::string> &Backends,
                 const Settings &TestSettings)
    : Broker(Config), Pool(Io.get_executor(), TestSettings.Pool, Time),
      Transport(Pool, Time, *TestSettings.Profile),
      Work(asio::make_work_guard(Io)) {
  // Each first attempt adds a tenth of a token to the retry budget.
  for (int Count = 0; Count < 10 * TestSettings.RetryTokens; ++Count)
    Retries.recordFirstAttempt("tags");
  if (TestSettings.Configured) {
    core::ServiceConfig Service{.Name = "tags",
                                .Kind = TestSettings.Kind,
                                .Rules = {{.Host = "", .PathPrefix = "/tags"}},
                                .DefaultDeadlineMs = TestSettings.DeadlineMs};
    for (const std::string &Address : Backends)
      Service.Servers.push_back(
          {.Id = "s" + std::to_string(Service.Servers.size()),
           .Address = Address,
           .Slots = 2});
    Config.apply(std::make_shared<core::ConfigSnapshot>(
        1,
        core::ConfigSnapshot::ServiceMap{
            {"tags", std::make_shared<core::ServiceEntry>(
                         core::ServiceEntry{1, Service})}},
        TestSettings.Routes.empty()
            ? nullptr
            : std::make_shared<core::RoutingTable>(1, TestSettings.Routes,
                                                   TestSettings.Limits,
                                                   TestSettings.Workspaces)));
  }
  Server = std::make_unique<callers::Server>(
      Io.get_executor(), TestSettings.Options,
      callers::ServerDependencies{.Time = Time,
                                  .Config = Config,
                                  .Broker = Broker,
                                  .Backends = Transport,
                                  .Events = Events,
                                  .Retries = Retries,
                                  .Profile = *TestSettings.Profile,
                                  .Freshness = TestSettings.Freshness});
  if (Server->listen({asio::ip::address_v4::loopback(), 0}))
    throw std::runtime_error("cannot listen on the loopback");
  for (int Count = 0; Count < 2; ++Count)
    Threads.emplace_back([this] { Io.run(); });
}

Harness::~Harness() {
  // Requests that are still ending use the broker and the pool, which are
  // destroyed before the context that holds them.
  stop(0ms).wait_for(3s);
  Io.stop();
  for (std::thread &Each : Threads)
    Each.join();
}

tcp::socket Harness::connect() {
  tcp::socket Socket(CallerIo);
  Socket.connect({asio::ip::address_v4::loopback(), Server->port()});
  // Makes a test fail instead of hang if a response never comes.
  const timeval Limit{.tv_sec = 10, .tv_usec = 0};
  ::setsockopt(Socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &Limit,
               sizeof Limit);
  return Socket;
}

std::string Harness::call(const std::string &Bytes) {
  tcp::socket Socket = connect();
  send(Socket, Bytes);
  return readResponse(Socket);
}

std::string Harness::readResponse(tcp::socket &From) {
  std::string Bytes;
  boost::system::error_code Code;
  const std::size_t Head =
      asio::read_until(From, asio::dynamic_buffer(Bytes), "\r\n\r\n", Code);
  if (Code)
    return Bytes;
  const std::size_t Field = Bytes.find("Content-Length: ");
  if (Field < Head) {
    const std::size_t Size = std::stoul(Bytes.substr(Field + 16));
    if (Bytes.size() < Head + Size)
      asio::read(From, asio::dynamic_buffer(Bytes),
                 asio::transfer_exactly(Head + Size - Bytes.size()), Code);
  } else if (Bytes.find("Transfer-Encoding: chunked") < Head &&
             Bytes.find("0\r\n\r\n", Head) == std::string::npos) {
    asio::read_until(From, asio::dynamic_buffer(Bytes), "\r\n0\r\n\r\n", Code);
  }
  return Bytes;
}

std::future<callers::StopReport>
Harness::stop(std::chrono::milliseconds Within) {
  return asio::co_spawn(Io, Server->stop(Time.now() + Within),
                        asio::use_future);
}

ScriptedBackend::Script answerWith(const std::string &Body) {
  return [Body](tcp::socket &Socket, int) {
    std::string Bytes;
    boost::system::error_code Code;
    while (true) {
      const std::size_t Head = asio::read_until(
          Socket, asio::dynamic_buffer(Bytes), "\r\n\r\n", Code);
      if (Code)
        return;
      Bytes.erase(0, Head);
      send(Socket, response("200 OK", Body));
    }
  };
}

std::string response(const std::string &Status, const std::string &Body,
                     const std::string &Fields) {
  return "HTTP/1.1 " + Status +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n" +
         Fields + "\r\n" + Body;
}

void send(tcp::socket &To, const std::string &Bytes) {
  boost::system::error_code Ignored;
  asio::write(To, asio::buffer(Bytes), Ignored);
}

int statusOf(const std::string &Response) {
  return Response.rfind("HTTP/1.1 ", 0) == 0 ? std::stoi(Response.substr(9))
                                             : 0;
}

bool eventually(const std::function<bool()> &Condition) {
  for (int Count = 0; Count < 300; ++Count) {
    if (Condition())
      return true;
    std::this_thread::sleep_for(10ms);
  }
  return false;
}

} // namespace jujubecart::test
