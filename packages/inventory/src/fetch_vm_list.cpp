#include <jujubecart/core/log.hpp>

#include <jujubecart/core/endpoint.hpp>
#include <jujubecart/core/http_limits.hpp>
#include <jujubecart/core/whole_response.hpp>
#include <jujubecart/inventory/vm_list_reader.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace jujubecart::inventory {

namespace internal {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using core::Error;

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

// Room for ten thousand VMs of about 150 bytes each.
constexpr std::uint64_t MaxBodyBytes = 4ULL << 20U;

core::Result<VmList> parseBody(const std::string &Body) {
  core::Findings Report("vms");
  auto List = parseVmList(Body, Report);
  if (!Report.empty())
    core::LogLine(core::LogLevel::Warning, "platform.vms-invalid")
        .field("findings", Report.text());
  if (!List)
    return make_error_code(Error::Malformed);
  return std::move(*List);
}

std::error_code toError(const boost::system::error_code &Code) {
  return make_error_code(Code == boost::beast::error::timeout
                             ? Error::DeadlineExceeded
                             : Error::Unavailable);
}

} // namespace internal

core::Awaitable<core::Result<VmList>> fetchVmList(std::string Address,
                                                  core::TimePoint Deadline) {
  using namespace internal;
  co_await asio::this_coro::throw_if_cancelled(false);
  const auto Executor = co_await asio::this_coro::executor;
  boost::beast::tcp_stream Stream(Executor);
  Stream.expires_at(Deadline);
  const auto [Connected] = co_await Stream.async_connect(
      core::parseEndpoint(Address).value(), AsTuple);
  if (Connected)
    co_return toError(Connected);
  http::request<http::empty_body> Message{http::verb::get, "/vms", 11};
  Message.set(http::field::host, Address);
  Message.keep_alive(false);
  const auto [WriteCode, Written] =
      co_await http::async_write(Stream, Message, AsTuple);
  if (WriteCode)
    co_return toError(WriteCode);
  boost::beast::flat_buffer Buffer(core::MaxHttpBufferBytes);
  const auto Response =
      co_await core::readWholeResponse(Stream, Buffer, MaxBodyBytes);
  if (!Response)
    co_return toError(Response.error());
  constexpr unsigned Ok = 200;
  if (Response->Status != Ok)
    co_return make_error_code(Error::Unavailable);
  co_return parseBody(Response->Body);
}

} // namespace jujubecart::inventory
