#include "http_health_prober.hpp"

#include <jujubecart/core/endpoint.hpp>
#include <jujubecart/core/http_limits.hpp>
#include <jujubecart/core/whole_response.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

namespace jujubecart::daemon {

namespace internal {

namespace asio = boost::asio;

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t MaxBodyBytes = 65536;

decision::ProbeResult parseHealthResponse(const core::WholeResponse &Response) {
  constexpr unsigned Ok = 200;
  const nlohmann::json Body =
      nlohmann::json::parse(Response.Body, nullptr, false);
  if (Response.Status != Ok || !Body.is_object() || !Body.contains("state") ||
      !Body["state"].is_string())
    return {};
  decision::ProbeResult Result;
  const auto &State = Body["state"].get_ref<const std::string &>();
  if (State == "ok")
    Result.State = decision::ProbeState::Ok;
  else if (State == "draining")
    Result.State = decision::ProbeState::Draining;
  else if (State == "cold")
    Result.State = decision::ProbeState::Cold;
  return Result;
}

} // namespace internal

core::Awaitable<decision::ProbeResult>
HttpHealthProber::probe(core::BackendServer Server, core::TimePoint Deadline) {
  using internal::AsTuple;
  namespace http = boost::beast::http;
  const auto Endpoint = core::parseEndpoint(Server.Address);
  if (!Endpoint)
    co_return decision::ProbeResult{};
  boost::beast::tcp_stream Stream(co_await boost::asio::this_coro::executor);
  Stream.expires_at(Deadline);
  const auto [ConnectCode] = co_await Stream.async_connect(*Endpoint, AsTuple);
  if (ConnectCode)
    co_return decision::ProbeResult{};
  http::request<http::empty_body> Request(http::verb::get, Server.HealthPath,
                                          11);
  Request.set(http::field::host, Server.Address);
  Request.set(http::field::connection, "close");
  const auto [WriteCode, Written] =
      co_await http::async_write(Stream, Request, AsTuple);
  if (WriteCode)
    co_return decision::ProbeResult{};
  boost::beast::flat_buffer Buffer(core::MaxHttpBufferBytes);
  const auto Response =
      co_await core::readWholeResponse(Stream, Buffer, internal::MaxBodyBytes);
  if (!Response)
    co_return decision::ProbeResult{};
  co_return internal::parseHealthResponse(*Response);
}

} // namespace jujubecart::daemon
