#include "common/endpoint.hpp"
#include "fake_backends/control.hpp"
#include "fake_backends/record.hpp"
#include "fake_backends/server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace asio = boost::asio;
using namespace jujubecart::dev;
using nlohmann::json;

namespace {

ServerOptions readServer(const json &Value, const json &Settings) {
  ServerOptions Options;
  Options.Id = Value.at("id");
  Options.Service = Value.value("service", "");
  Options.Listen = parseEndpoint(Value.value("listen", "127.0.0.1:0"));
  Options.Slots = Value.value("slots", 2);
  Options.QueueLimit = Value.value("queue", 64);
  const std::string DistributionName =
      Settings.value("distribution", "lognormal");
  const auto Parsed = parseDistribution(DistributionName);
  if (!Parsed)
    throw std::invalid_argument("unknown distribution \"" + DistributionName +
                                "\"");
  Options.ServiceTimes = {*Parsed, Settings.value("mean_ms", 10.0)};
  return Options;
}

asio::awaitable<void>
sampleLoadPeriodically(const Control::ServerMap &Servers) {
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  while (true) {
    Timer.expires_after(std::chrono::milliseconds(100));
    co_await Timer.async_wait(asio::use_awaitable);
    for (const auto &[Name, Item] : Servers)
      Item->sampleLoad();
  }
}

void serve(const json &Settings) {
  asio::io_context Context(1);
  RunRecord Runs;
  Control::ServerMap Servers;
  json Addresses = json::object();
  for (const json &Value : Settings.at("servers")) {
    ServerOptions Options = readServer(Value, Settings);
    auto Item = std::make_unique<Server>(Context, Options, Runs);
    Addresses[Options.Id] = Item->address();
    asio::co_spawn(Context, Item->accept(), asio::detached);
    if (!Servers.emplace(Options.Id, std::move(Item)).second)
      throw std::invalid_argument("duplicate backend server \"" + Options.Id +
                                  "\"");
  }
  const Control ControlPort(Context, Servers, Runs);
  asio::co_spawn(Context, sampleLoadPeriodically(Servers), asio::detached);
  asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait([&Context](auto, int) { Context.stop(); });
  std::cout
      << json{{"control", ControlPort.address()}, {"servers", Addresses}}.dump()
      << std::endl;
  Context.run();
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  try {
    if (ArgumentCount != 2)
      throw std::invalid_argument("usage: fake_backends FILE.json");
    std::ifstream Input(Arguments[1]);
    if (!Input)
      throw std::runtime_error("cannot open " + std::string(Arguments[1]));
    serve(json::parse(Input));
    return 0;
  } catch (const std::exception &Error) {
    std::cerr << "fake_backends: " << Error.what() << '\n';
    return 1;
  }
}
