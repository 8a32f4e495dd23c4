#include "fake_backends/control.hpp"

#include "fake_backends/record.hpp"
#include "fake_backends/server.hpp"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace jujubecart::dev {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

// Simulated cold start: service times are three times as long for two seconds.
constexpr double ColdStartSlowdown = 3.0;
constexpr milliseconds ColdStartDuration{2000};

void clearFaults(Server &Target) {
  // Silenced connections stay silent: they never send another response.
  const std::uint64_t SilentBelowGeneration =
      Target.faults().SilentBelowGeneration;
  Target.slowDown(1.0, milliseconds(0));
  Target.faults() = InjectedFaults{};
  Target.faults().SilentBelowGeneration = SilentBelowGeneration;
}

void applyFault(Server &Target, const json &Fault) {
  const std::string Kind = Fault.at("kind");
  const milliseconds Duration(Fault.value("length_ms", 0));
  const std::uint64_t Count = Fault.value("count", 1);
  if (Kind == "slow")
    Target.slowDown(Fault.value("factor", 10.0), Duration);
  else if (Kind == "cold")
    Target.slowDown(ColdStartSlowdown, ColdStartDuration);
  else if (Kind == "drain")
    Target.setDraining(Fault.value("on", true));
  else if (Kind == "failfast")
    Target.setFailFast(Fault.value("on", true));
  else if (Kind == "lie")
    Target.faults().HideState = Fault.value("on", true);
  else if (Kind == "silent")
    Target.silenceConnections();
  else if (Kind == "close_after_read")
    Target.faults().CloseAfterRead = Count;
  else if (Kind == "truncate")
    Target.faults().TruncatedResponses = Count;
  else if (Kind == "late") {
    Target.faults().DelayedResponses = Count;
    Target.faults().ResponseDelay = milliseconds(Fault.value("by_ms", 3000));
  } else if (Kind == "clear")
    clearFaults(Target);
  else
    throw std::invalid_argument("unknown fault kind \"" + Kind + "\"");
}

} // namespace

Control::Control(boost::asio::io_context &Context, const ServerMap &Servers,
                 const RunRecord &Runs)
    : Servers(Servers), Runs(Runs),
      ControlServer(Context, 0, [this](HttpRequest Request, auto &) {
        return respond(std::move(Request));
      }) {}

std::string Control::address() const {
  return "127.0.0.1:" + std::to_string(ControlServer.port());
}

void Control::apply(const json &Fault) {
  const std::string Id = Fault.at("server");
  bool Found = false;
  for (const auto &[Name, Target] : Servers) {
    if (Id != "*" && Id != Name)
      continue;
    Found = true;
    applyFault(*Target, Fault);
  }
  if (!Found)
    throw std::invalid_argument("unknown backend server \"" + Id + "\"");
}

std::string Control::execute(std::string_view Target, const std::string &Body) {
  if (Target == "/fault") {
    apply(json::parse(Body));
    return "{}";
  }
  if (Target == "/record")
    return Runs.toJson().dump();
  if (Target != "/stats")
    throw std::invalid_argument("unknown path \"" + std::string(Target) + "\"");
  json All = json::object();
  for (const auto &[Name, Item] : Servers)
    All[Name] = Item->stats();
  return All.dump();
}

core::Awaitable<std::optional<HttpReply>>
Control::respond(HttpRequest Request) {
  HttpReply Reply;
  try {
    Reply.Body = execute(Request.target(), Request.body());
  } catch (const std::exception &Error) {
    Reply = {400, Error.what()};
  }
  co_return Reply;
}

} // namespace jujubecart::dev
