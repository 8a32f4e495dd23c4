#include "fakes/http_server.hpp"

#include <jujubecart/core/json_reader.hpp>

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <deque>
#include <iostream>

namespace {

using namespace jujubecart;
using Clock = std::chrono::steady_clock;

// Serves `GET /vms`: the list of VMs as it was a configurable lag ago. During
// an outage, connections are closed without a response. `POST /control` sets
// the list, the lag and the outage.
class FakePlatform {
public:
  std::optional<dev::HttpReply> respond(const dev::HttpRequest &Message) {
    namespace http = boost::beast::http;
    if (Message.target() == "/control" && Message.method() == http::verb::post)
      return control(Message.body());
    if (Message.target() != "/vms" || Message.method() != http::verb::get)
      return dev::HttpReply{404, R"({"error":"unknown path"})"};
    if (Outage)
      return std::nullopt;
    // Drops a snapshot once the next one is older than the lag.
    while (Snapshots.size() > 1 && Snapshots[1].Since + Lag <= Clock::now())
      Snapshots.pop_front();
    return dev::HttpReply{200,
                          nlohmann::json{{"vms", Snapshots[0].Vms}}.dump()};
  }

private:
  struct Snapshot {
    Clock::time_point Since;
    nlohmann::json Vms;
  };

  std::deque<Snapshot> Snapshots{{Clock::now(), nlohmann::json::array()}};
  std::chrono::milliseconds Lag{0};
  bool Outage = false;

  dev::HttpReply control(const std::string &Body) {
    core::Findings Report("control");
    const auto Value = core::parseJson(Body, Report);
    if (!Value)
      return {400, nlohmann::json{{"error", Report.text()}}.dump()};
    core::JsonReader Reader(*Value, "", Report);
    const auto *Vms = Reader.array("vms", false);
    const std::chrono::milliseconds NextLag(
        Reader.integerOr("lag_ms", 0, 600000, Lag.count()));
    const bool NextOutage = Reader.booleanOr("outage", Outage);
    Reader.rejectUnknownKeys();
    if (!Report.empty())
      return {400, nlohmann::json{{"error", Report.text()}}.dump()};
    Lag = NextLag;
    Outage = NextOutage;
    if (Vms != nullptr)
      Snapshots.push_back({Clock::now(), *Vms});
    return {200, "{}"};
  }
};

} // namespace

int main(int Count, char **Arguments) {
  CLI::App App{"Stand-in for the platform's list of VMs"};
  std::uint16_t Port = 0;
  App.add_option("--port", Port, "port on 127.0.0.1; 0 picks a free one");
  CLI11_PARSE(App, Count, Arguments);
  try {
    boost::asio::io_context Context(1);
    FakePlatform Platform;
    const dev::HttpServer Server(
        Context, Port,
        [&Platform](dev::HttpRequest Message, boost::asio::ip::tcp::socket &)
            -> core::Awaitable<std::optional<dev::HttpReply>> {
          co_return Platform.respond(Message);
        });
    boost::asio::signal_set Signals(Context, SIGINT, SIGTERM);
    Signals.async_wait([&Context](auto, int) { Context.stop(); });
    std::cout << Server.port() << std::endl;
    Context.run();
    return 0;
  } catch (const std::exception &Error) {
    std::cerr << "fake_platform: " << Error.what() << "\n";
    return 1;
  }
}
