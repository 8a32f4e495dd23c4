#include "load_prober.hpp"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

namespace jujubecart::daemon {

namespace internal {

constexpr unsigned Ok = 200;

std::shared_ptr<core::BackendRequest>
healthRequest(const core::BackendServer &Server) {
  auto Out = std::make_shared<core::BackendRequest>();
  Out->Head = "GET " + Server.HealthPath +
              " HTTP/1.1\r\nHost: " + Server.Address + "\r\n\r\n";
  return Out;
}

} // namespace internal

core::Awaitable<decision::ProbeResult>
LoadProber::probe(core::BackendServer Server, core::TimePoint Deadline) {
  const std::shared_ptr<core::BackendExchange> Exchange =
      Backends.prepare(Server, internal::healthRequest(Server));
  boost::asio::steady_timer Timer(co_await boost::asio::this_coro::executor,
                                  Deadline);
  Timer.async_wait(
      [Weak = std::weak_ptr(Exchange)](const boost::system::error_code &Code) {
        if (const auto Held = Weak.lock(); Held && !Code)
          Held->abort(core::AbortReason::TimedOut);
      });
  const std::error_code Failed = co_await Exchange->open(nullptr);
  decision::ProbeResult Result;
  if (Failed)
    co_return Result;
  std::array<char, 1024> Dropped{};
  while (!Exchange->complete()) {
    const auto Count = co_await Exchange->read(Dropped);
    if (!Count)
      co_return Result;
  }
  Result.State = Exchange->head().result_int() == internal::Ok
                     ? decision::ProbeState::Ok
                     : decision::ProbeState::Draining;
  Result.Load = Exchange->report().Load;
  co_return Result;
}

} // namespace jujubecart::daemon
