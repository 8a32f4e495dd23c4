#include <jujubecart/operators/server.hpp>

#include "connection.hpp"

#include <jujubecart/core/log.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <exception>
#include <mutex>
#include <system_error>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

namespace jujubecart::operators {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace internal {

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
// Handlers of tickets block their thread for up to 5 s. Another thread is
// started when all are busy, because each costs memory.
constexpr std::size_t FirstThreads = 2;
constexpr std::size_t MaxThreads = 8;
// Further connections are closed at once.
constexpr std::size_t MaxConnections = 256;
constexpr std::chrono::milliseconds AcceptRetryDelay{50};

} // namespace

} // namespace internal

// The server of cxxtools 3.0 is not used: its end waits forever for threads
// that block in accept() or in the read of the pipe that wakes them.
class Server::Implementation {
public:
  Implementation(const std::string &Address, std::uint16_t Port, TlsFiles Tls,
                 Api &Endpoints)
      : Tls(std::move(Tls)), Endpoints(Endpoints),
        Acceptor(asio::make_strand(Io),
                 tcp::endpoint(asio::ip::make_address(Address), Port)) {
    asio::co_spawn(Acceptor.get_executor(), acceptConnections(),
                   [](const std::exception_ptr &) {});
    const std::lock_guard Lock(Mutex);
    while (Threads.size() < internal::FirstThreads)
      Threads.emplace_back([this] { Io.run(); });
  }
  Implementation(const Implementation &) = delete;
  Implementation &operator=(const Implementation &) = delete;

  ~Implementation() {
    {
      const std::lock_guard Lock(Mutex);
      Stopping = true;
      for (const auto &[Key, Link] : Connections)
        asio::post(Link->executor(), [Link = Link] { Link->stop(); });
    }
    asio::post(Acceptor.get_executor(), [this] {
      boost::system::error_code Ignored;
      Acceptor.close(Ignored);
    });
    // The threads end when the last coroutine has ended; none is started any
    // more.
    for (std::thread &Thread : Threads)
      Thread.join();
  }

private:
  core::Awaitable<void> acceptConnections() {
    asio::steady_timer Pause(Acceptor.get_executor());
    while (Acceptor.is_open()) {
      auto [Code, Socket] = co_await Acceptor.async_accept(
          asio::any_io_executor(asio::make_strand(Io)), internal::UseTuple);
      if (!Code) {
        start(std::move(Socket));
        continue;
      }
      if (!Acceptor.is_open())
        break;
      core::LogLine(core::LogLevel::Warning, "operators.accept_failed")
          .field("error", Code);
      Pause.expires_after(internal::AcceptRetryDelay);
      co_await Pause.async_wait(internal::UseTuple);
    }
  }

  Response handle(const internal::Request &From) {
    {
      const std::lock_guard Lock(Mutex);
      ++BusyThreads;
      if (BusyThreads == Threads.size() &&
          Threads.size() < internal::MaxThreads && !Stopping)
        startThread();
    }
    Response Result = internal::handleRequest(Endpoints, From);
    const std::lock_guard Lock(Mutex);
    --BusyThreads;
    return Result;
  }

  // With the mutex held.
  void startThread() {
    try {
      Threads.emplace_back([this] { Io.run(); });
    } catch (const std::system_error &Failure) {
      core::LogLine(core::LogLevel::Warning, "operators.thread_failed")
          .field("error", Failure.code());
    }
  }

  void start(tcp::socket Socket) {
    const auto Link = std::make_shared<internal::Connection>(
        std::move(Socket), Tls,
        [this](const internal::Request &From) { return handle(From); });
    const std::lock_guard Lock(Mutex);
    if (Stopping || Connections.size() >= internal::MaxConnections)
      return;
    Connections.emplace(Link.get(), Link);
    asio::co_spawn(Link->executor(), Link->run(),
                   [this, Link](const std::exception_ptr &Failure) {
                     // Only a failed allocation or a bug throws. It must end
                     // one connection, not the process.
                     if (Failure)
                       core::LogLine(core::LogLevel::Error,
                                     "operators.connection_failed");
                     if (Failure)
                       Link->stop();
                     const std::lock_guard Lock(Mutex);
                     Connections.erase(Link.get());
                   });
  }

  const TlsFiles Tls;
  Api &Endpoints;
  asio::io_context Io;
  tcp::acceptor Acceptor;
  // Guards what follows.
  std::mutex Mutex;
  bool Stopping = false;
  std::unordered_map<internal::Connection *,
                     std::shared_ptr<internal::Connection>>
      Connections;
  std::vector<std::thread> Threads;
  std::size_t BusyThreads = 0;
};

Server::Server(const std::string &Address, std::uint16_t Port,
               const TlsFiles &Tls, Api &Endpoints)
    : Internals(
          std::make_unique<Implementation>(Address, Port, Tls, Endpoints)) {}

Server::~Server() = default;

} // namespace jujubecart::operators
