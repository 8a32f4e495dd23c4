#include "daemon_api.hpp"

#include "explain_request.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <chrono>
#include <future>
#include <nlohmann/json.hpp>
#include <optional>

namespace jujubecart::daemon {

namespace internal {

using nlohmann::json;
using operators::Response;
using store::TicketStatus;

constexpr std::chrono::seconds TicketTimeout{5};

Response jsonResponse(unsigned Status, const json &Body) {
  // Ids of a query come back in the response and can be no UTF-8.
  return Response{
      .Status = Status,
      .Body = Body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n"};
}

unsigned httpStatus(TicketStatus Status) noexcept {
  switch (Status) {
  case TicketStatus::Accepted:
    return 200;
  case TicketStatus::Beaten:
  case TicketStatus::NumberReused:
    return 409;
  case TicketStatus::Invalid:
    return 422;
  case TicketStatus::Unknown:
    return 504;
  case TicketStatus::Unavailable:
    return 503;
  }
  return 500;
}

json ticketJson(const store::TicketResult &Result) {
  json Body{{"ticket", Result.Number},
            {"state", store::toString(Result.Status)}};
  if (Result.Revision != 0)
    Body["revision"] = Result.Revision;
  if (Result.BeatenBy != 0)
    Body["beaten_by"] = Result.BeatenBy;
  if (!Result.Service.empty())
    Body["reason"] = "service " + Result.Service + " changed after based_on";
  for (const core::Finding &Item : Result.Findings)
    Body["findings"].push_back({{"pointer", Item.Pointer},
                                {"found", Item.Found},
                                {"expected", Item.Expected}});
  return Body;
}

json membersJson(const core::MemberSource &Table) {
  json Members = json::array();
  for (const core::Member &Item : Table.members())
    Members.push_back({{"id", Item.Id},
                       {"address", Item.Address},
                       {"operators", Item.OperatorsAddress},
                       {"zone", Item.Zone},
                       {"region", Item.Region},
                       {"incarnation", Item.Incarnation},
                       {"state", core::toString(Item.State)}});
  return Members;
}

json groupsJson(const peers::DispatchService &Dispatch) {
  json Groups = json::array();
  for (const auto &[Name, Servers] : Dispatch.status()) {
    json Items = json::array();
    for (const decision::ServerStatus &Server : Servers)
      Items.push_back({{"id", Server.Id},
                       {"state", decision::toString(Server.Health)},
                       {"in_flight", Server.InFlight},
                       {"limit", Server.Limit},
                       {"service_time_us", Server.ServiceTime.count()}});
    Groups.push_back({{"group", Name}, {"servers", std::move(Items)}});
  }
  return Groups;
}

// Waits for a coroutine on the context. Nothing if the context was stopped
// before its end: it is never resumed then.
template <typename Value>
std::optional<Value> waitFor(std::future<Value> Pending,
                             const boost::asio::io_context &Io) {
  constexpr std::chrono::milliseconds PollInterval{50};
  while (Pending.wait_for(PollInterval) != std::future_status::ready)
    if (Io.stopped())
      return std::nullopt;
  return Pending.get();
}

// Takes the text by value, since the coroutine can outlive the calling frame
// when the process stops.
core::Awaitable<store::TicketResult>
submitAsync(store::TicketProcessor &Tickets, std::string Text,
            core::TimePoint Deadline) {
  co_return co_await Tickets.submit(std::move(Text), "ticket", Deadline);
}

core::Awaitable<core::Result<store::AcceptedTicket>>
showAsync(store::TicketProcessor &Tickets, std::uint64_t Number,
          core::TimePoint Deadline) {
  co_return co_await Tickets.findAccepted(Number, Deadline);
}

} // namespace internal

void DaemonApi::setEvacuatedZones(
    std::function<std::vector<std::string>()> Source) {
  const std::lock_guard Lock(ZonesMutex);
  EvacuatedZones = std::move(Source);
}

operators::Response DaemonApi::submitTicket(const std::string &Text) {
  const store::TicketResult Result =
      internal::waitFor(
          boost::asio::co_spawn(
              Env.Io,
              internal::submitAsync(Env.Tickets, Text,
                                    Env.Time.now() + internal::TicketTimeout),
              boost::asio::use_future),
          Env.Io)
          .value_or(
              store::TicketResult{.Status = store::TicketStatus::Unknown});
  core::LogLine(core::LogLevel::Info, "ticket.decided")
      .field("ticket", Result.Number)
      .field("state", store::toString(Result.Status))
      .field("revision", Result.Revision);
  Env.Events.record({.Kind = "ticket.decided",
                     .Ticket = Result.Number,
                     .Detail = std::string(store::toString(Result.Status))});
  return internal::jsonResponse(internal::httpStatus(Result.Status),
                                internal::ticketJson(Result));
}

operators::Response DaemonApi::showTicket(std::uint64_t Number) {
  const auto Ticket =
      internal::waitFor(
          boost::asio::co_spawn(
              Env.Io,
              internal::showAsync(Env.Tickets, Number,
                                  Env.Time.now() + internal::TicketTimeout),
              boost::asio::use_future),
          Env.Io)
          .value_or(core::make_error_code(core::Error::Unavailable));
  if (Ticket)
    return internal::jsonResponse(200, {{"ticket", Ticket->Number},
                                        {"state", "accepted"},
                                        {"revision", Ticket->Revision}});
  if (Ticket.error() == make_error_code(core::Error::NotFound))
    return internal::jsonResponse(
        404, {{"ticket", Number}, {"state", "not-accepted"}});
  return internal::jsonResponse(503, {{"ticket", Number},
                                      {"state", "unavailable"},
                                      {"reason", Ticket.error().message()}});
}

operators::Response DaemonApi::services() {
  const auto Snapshot = Env.Config.current();
  nlohmann::json Services = nlohmann::json::object();
  for (const auto &[Name, Entry] : Snapshot->entries()) {
    if (!Entry->Service)
      continue;
    Services[Name] = core::writeService(*Entry->Service);
    Services[Name]["changed"] = Entry->Changed;
  }
  return internal::jsonResponse(
      200, {{"revision", Snapshot->revision()}, {"services", Services}});
}

operators::Response DaemonApi::status() {
  const std::string Reason = notReadyReason();
  const operators::VmSettings &Vm = Env.Settings.Vm;
  nlohmann::json Body{
      {"vm",
       {{"id", Vm.Id},
        {"zone", Vm.Zone},
        {"region", Vm.Region},
        {"incarnation", Env.Incarnation}}},
      {"revision", Env.Config.current()->revision()},
      {"ready", Reason.empty()},
      {"reason", Reason},
      {"policy", Env.Settings.Policy},
      {"in_flight", Env.Callers.counters().InFlight},
      {"members", internal::membersJson(Env.Peers.members())},
      {"groups", internal::groupsJson(Env.Peers.dispatch())},
  };
  return internal::jsonResponse(200, Body);
}

operators::Response
DaemonApi::timeline(const operators::TimelineQuery &Filter) {
  nlohmann::json Events = nlohmann::json::array();
  for (const core::TimedEvent &Entry :
       Env.Events.since(Filter.Since, Filter.Limit))
    Events.push_back(core::toJson(Entry));
  return internal::jsonResponse(200, {{"vm", Env.Settings.Vm.Id},
                                      {"dropped", Env.Events.dropped()},
                                      {"events", std::move(Events)}});
}

operators::Response DaemonApi::explain(const operators::ExplainQuery &Query) {
  KnownState Known = explainedState(Env, Query, notReadyReason());
  std::function<std::vector<std::string>()> Zones;
  {
    const std::lock_guard Lock(ZonesMutex);
    Zones = EvacuatedZones;
  }
  if (Zones)
    Known.EvacuatedZones = Zones();
  return internal::jsonResponse(200, toJson(Known, daemon::explain(Known)));
}

operators::Response DaemonApi::metrics() {
  return {.ContentType = "text/plain; version=0.0.4",
          .Body = Env.Metrics.text()};
}

operators::Response DaemonApi::readiness() {
  const std::string Reason = notReadyReason();
  return internal::jsonResponse(
      Reason.empty() ? 200 : 503,
      {{"ready", Reason.empty()}, {"reason", Reason}});
}

std::string DaemonApi::notReadyReason() const {
  if (Env.Stopping)
    return "stopping";
  if (Env.Config.current()->revision() == 0)
    return "no configuration: neither the store nor another VM has supplied "
           "one";
  return {};
}

} // namespace jujubecart::daemon
