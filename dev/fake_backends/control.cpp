#include "fake_backends/control.hpp"

#include "fake_backends/record.hpp"
#include "fake_backends/server.hpp"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace jujubecart::dev {

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
    Target.failFast(Fault.value("on", true));
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

Control::Control(boost::asio::io_context &Context, const ServerMap &Servers,
                 const Record &Runs)
    : Servers(Servers), Runs(Runs),
      Port(Context, 0, [this](HttpRequest Request, auto &) {
        return respond(std::move(Request));
      }) {}

std::string Control::address() const {
  return "127.0.0.1:" + std::to_string(Port.port());
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

std::string Control::result(std::string_view Target, const std::string &Body) {
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

core::Awaitable<std::optional<HttpReply>>
Control::respond(HttpRequest Request) {
  HttpReply Reply;
  try {
    Reply.Body = result(Request.target(), Request.body());
  } catch (const std::exception &Problem) {
    Reply = {400, Problem.what()};
  }
  co_return Reply;
}

} // namespace jujubecart::dev
