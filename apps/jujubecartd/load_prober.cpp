#include "load_prober.hpp"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

namespace jujubecart::daemon {

namespace internal {

constexpr unsigned HttpOk = 200;

std::shared_ptr<core::BackendRequest>
makeHealthRequest(const core::BackendServer &Server) {
  auto Request = std::make_shared<core::BackendRequest>();
  Request->Head = "GET " + Server.HealthPath +
                  " HTTP/1.1\r\nHost: " + Server.Address + "\r\n\r\n";
  Request->IsHealthCheck = true;
  return Request;
}

} // namespace internal

core::Awaitable<decision::ProbeResult>
LoadProber::probe(core::BackendServer Server, core::TimePoint Deadline) {
  const std::shared_ptr<core::BackendExchange> Exchange =
      Backends.prepare(Server, internal::makeHealthRequest(Server));
  boost::asio::steady_timer Timer(co_await boost::asio::this_coro::executor,
                                  Deadline);
  Timer.async_wait(
      [Weak = std::weak_ptr(Exchange)](const boost::system::error_code &Code) {
        if (const auto Active = Weak.lock(); Active && !Code)
          Active->abort(core::AbortReason::TimedOut);
      });
  const std::error_code OpenError = co_await Exchange->open(nullptr);
  decision::ProbeResult Result;
  if (OpenError)
    co_return Result;
  std::array<char, 1024> Discarded{};
  while (!Exchange->complete()) {
    const auto Count = co_await Exchange->read(Discarded);
    if (!Count)
      co_return Result;
  }
  Result.State = Exchange->head().result_int() == internal::HttpOk
                     ? decision::ProbeState::Ok
                     : decision::ProbeState::Draining;
  Result.Load = Exchange->report().Load;
  Result.ColdUntil = Exchange->report().ColdUntil;
  co_return Result;
}

} // namespace jujubecart::daemon
