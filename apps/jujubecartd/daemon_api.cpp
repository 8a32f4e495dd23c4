#include "daemon_api.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <nlohmann/json.hpp>

namespace jujubecart::daemon {

namespace internal {

using nlohmann::json;
using operators::Answer;
using store::TicketStatus;

constexpr std::chrono::seconds TicketTimeout{5};

Answer answer(unsigned Status, const json &Body) {
  return Answer{.Status = Status, .Body = Body.dump() + "\n"};
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

json ticketBody(const store::TicketResult &Result) {
  json Body{{"ticket", Result.Number},
            {"state", store::toString(Result.Status)}};
  if (Result.Accepted != 0)
    Body["revision"] = Result.Accepted;
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

json memberList(const core::MemberSource &Table) {
  json Members = json::array();
  for (const core::Member &Item : Table.members())
    Members.push_back({{"id", Item.Id},
                       {"address", Item.Address},
                       {"operators", Item.Operators},
                       {"zone", Item.Zone},
                       {"region", Item.Region},
                       {"incarnation", Item.Incarnation},
                       {"state", core::toString(Item.State)}});
  return Members;
}

json groupList(const peers::DispatchService &Dispatch) {
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

// Coroutine parameters are values because the future outlives the caller's
// frame if the process is stopping.
core::Awaitable<store::TicketResult> submitTo(store::TicketProcessor &Tickets,
                                              std::string Text,
                                              core::TimePoint Deadline) {
  co_return co_await Tickets.submit(std::move(Text), "ticket", Deadline);
}

core::Awaitable<core::Result<store::AcceptedTicket>>
showFrom(store::TicketProcessor &Tickets, std::uint64_t Number,
         core::TimePoint Deadline) {
  co_return co_await Tickets.show(Number, Deadline);
}

} // namespace internal

operators::Answer DaemonApi::submitTicket(const std::string &Text) {
  const store::TicketResult Result =
      boost::asio::co_spawn(
          Parts.Io,
          internal::submitTo(Parts.Tickets, Text,
                             Parts.Time.now() + internal::TicketTimeout),
          boost::asio::use_future)
          .get();
  core::LogLine(core::LogLevel::Info, "ticket.decided")
      .field("ticket", Result.Number)
      .field("state", store::toString(Result.Status))
      .field("revision", Result.Accepted);
  Parts.Events.record({.Kind = "ticket.decided",
                       .Ticket = Result.Number,
                       .Detail = std::string(store::toString(Result.Status))});
  return internal::answer(internal::httpStatus(Result.Status),
                          internal::ticketBody(Result));
}

operators::Answer DaemonApi::showTicket(std::uint64_t Number) {
  const auto Found =
      boost::asio::co_spawn(
          Parts.Io,
          internal::showFrom(Parts.Tickets, Number,
                             Parts.Time.now() + internal::TicketTimeout),
          boost::asio::use_future)
          .get();
  if (Found)
    return internal::answer(200, {{"ticket", Found->Number},
                                  {"state", "accepted"},
                                  {"revision", Found->Accepted}});
  if (Found.error() == make_error_code(core::Error::NotFound))
    return internal::answer(404,
                            {{"ticket", Number}, {"state", "not-accepted"}});
  return internal::answer(503, {{"ticket", Number},
                                {"state", "unavailable"},
                                {"reason", Found.error().message()}});
}

operators::Answer DaemonApi::services() {
  const auto Snapshot = Parts.Config.current();
  nlohmann::json Services = nlohmann::json::object();
  for (const auto &[Name, Entry] : Snapshot->entries()) {
    if (!Entry->Service)
      continue;
    Services[Name] = core::writeService(*Entry->Service);
    Services[Name]["changed"] = Entry->Changed;
  }
  return internal::answer(
      200, {{"revision", Snapshot->revision()}, {"services", Services}});
}

operators::Answer DaemonApi::status() {
  const std::string Reason = notReadyReason();
  const operators::VmSettings &Vm = Parts.All.Vm;
  nlohmann::json Body{
      {"vm",
       {{"id", Vm.Id},
        {"zone", Vm.Zone},
        {"region", Vm.Region},
        {"incarnation", Parts.Incarnation}}},
      {"revision", Parts.Config.current()->revision()},
      {"ready", Reason.empty()},
      {"reason", Reason},
      {"policy", Parts.All.Policy},
      {"in_flight", Parts.Callers.counters().InFlight},
      {"members", internal::memberList(Parts.Peers.members())},
      {"groups", internal::groupList(Parts.Peers.dispatch())},
  };
  return internal::answer(200, Body);
}

operators::Answer DaemonApi::timeline(const operators::Query &Filter) {
  nlohmann::json Events = nlohmann::json::array();
  for (const core::TimedEvent &Entry :
       Parts.Events.since(Filter.Since, Filter.Limit))
    Events.push_back(core::toJson(Entry));
  return internal::answer(200, {{"vm", Parts.All.Vm.Id},
                                {"dropped", Parts.Events.dropped()},
                                {"events", std::move(Events)}});
}

operators::Answer DaemonApi::metrics() {
  return {.ContentType = "text/plain; version=0.0.4",
          .Body = Parts.Metrics.text()};
}

operators::Answer DaemonApi::readiness() {
  const std::string Reason = notReadyReason();
  return internal::answer(Reason.empty() ? 200 : 503,
                          {{"ready", Reason.empty()}, {"reason", Reason}});
}

std::string DaemonApi::notReadyReason() const {
  if (Parts.Stopping)
    return "stopping";
  if (Parts.Config.current()->revision() == 0)
    return "no configuration: neither the store nor another VM has supplied "
           "one";
  return {};
}

} // namespace jujubecart::daemon
