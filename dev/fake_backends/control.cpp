#include "fake_backends/control.hpp"

#include "common/endpoint.hpp"
#include "fake_backends/record.hpp"
#include "fake_backends/server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace jujubecart::dev {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::use_awaitable;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

// Slowdown and length of a cold start.
constexpr double ColdFactor = 3.0;
constexpr milliseconds ColdLength{2000};

void clear(Server &Target) {
  // Silent connections stay silent: they never answer again.
  const std::uint64_t Silent = Target.faults().SilentBelow;
  Target.slow(1.0, milliseconds(0));
  Target.faults() = Switches{};
  Target.faults().SilentBelow = Silent;
}

void applyTo(Server &Target, const json &Fault) {
  const std::string Kind = Fault.at("kind");
  const milliseconds Length(Fault.value("length_ms", 0));
  const std::uint64_t Count = Fault.value("count", 1);
  if (Kind == "slow")
    Target.slow(Fault.value("factor", 10.0), Length);
  else if (Kind == "cold")
    Target.slow(ColdFactor, ColdLength);
  else if (Kind == "drain")
    Target.drain(Fault.value("on", true));
  else if (Kind == "failfast")
    Target.faults().FailFast = Fault.value("on", true);
  else if (Kind == "lie")
    Target.faults().Lie = Fault.value("on", true);
  else if (Kind == "silent")
    Target.silence();
  else if (Kind == "close_after_read")
    Target.faults().CloseAfterRead = Count;
  else if (Kind == "truncate")
    Target.faults().Truncate = Count;
  else if (Kind == "late") {
    Target.faults().Late = Count;
    Target.faults().LateBy = milliseconds(Fault.value("by_ms", 3000));
  } else if (Kind == "clear")
    clear(Target);
  else
    throw std::invalid_argument("unknown fault kind \"" + Kind + "\"");
}

} // namespace

Control::Control(asio::io_context &Context,
                 const asio::ip::tcp::endpoint &Endpoint,
                 const ServerMap &Servers, const Record &Runs)
    : Acceptor(listen(Context, Endpoint)), Servers(Servers), Runs(Runs) {}

std::string Control::address() const {
  return endpointText(Acceptor.local_endpoint());
}

void Control::apply(const json &Fault) {
  const std::string Id = Fault.at("server");
  bool Found = false;
  for (const auto &[Name, Target] : Servers) {
    if (Id != "*" && Id != Name)
      continue;
    Found = true;
    applyTo(*Target, Fault);
  }
  if (!Found)
    throw std::invalid_argument("no backend server \"" + Id + "\"");
}

std::string Control::respond(std::string_view Target, const std::string &Body) {
  if (Target == "/fault") {
    apply(json::parse(Body));
    return "{}";
  }
  if (Target == "/record")
    return Runs.json().dump();
  if (Target != "/stats")
    throw std::invalid_argument("unknown target \"" + std::string(Target) +
                                "\"");
  json All = json::object();
  for (const auto &[Name, Item] : Servers)
    All[Name] = Item->stats();
  return All.dump();
}

asio::awaitable<void> Control::accept() {
  while (true) {
    auto Socket = co_await Acceptor.async_accept(use_awaitable);
    asio::co_spawn(Acceptor.get_executor(), serve(std::move(Socket)),
                   asio::detached);
  }
}

asio::awaitable<void> Control::serve(asio::ip::tcp::socket Socket) {
  boost::beast::flat_buffer Buffer;
  http::request<http::string_body> Request;
  http::response<http::string_body> Answer(http::status::ok, 11);
  try {
    co_await http::async_read(Socket, Buffer, Request, use_awaitable);
    try {
      Answer.body() = respond(Request.target(), Request.body());
    } catch (const std::exception &Problem) {
      Answer.result(http::status::bad_request);
      Answer.body() = Problem.what();
    }
    Answer.keep_alive(false);
    Answer.prepare_payload();
    co_await http::async_write(Socket, Answer, use_awaitable);
  } catch (const boost::system::system_error &) {
    // The client went away; it will see that itself.
  }
}

} // namespace jujubecart::dev
