#include <jujubecart/store/config_head.hpp>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace jujubecart::store {

namespace internal {

// Decoding ignores unknown keys, so that different versions of the software can
// run side by side.
nlohmann::json toJson(const AcceptedTicket &Ticket) {
  return {{"number", Ticket.Number},
          {"digest", Ticket.Digest},
          {"revision", Ticket.Revision}};
}

AcceptedTicket acceptedTicketFromJson(const nlohmann::json &Value) {
  return AcceptedTicket{.Number = Value.at("number").get<std::uint64_t>(),
                        .Digest = Value.at("digest").get<std::string>(),
                        .Revision = Value.at("revision").get<core::Revision>()};
}

ConfigHead headFromJson(const nlohmann::json &Value) {
  ConfigHead Head;
  Head.Revision = Value.at("revision").get<core::Revision>();
  for (const auto &[Name, Entry] : Value.at("services").items())
    Head.Services.emplace(
        Name, HeadEntry{.Changed = Entry.at("changed").get<core::Revision>(),
                        .Ticket = Entry.at("ticket").get<std::uint64_t>(),
                        .Key = Entry.value("key", std::string())});
  for (const auto &Ticket : Value.at("tickets"))
    Head.RecentTickets.push_back(acceptedTicketFromJson(Ticket));
  return Head;
}

} // namespace internal

const AcceptedTicket *
ConfigHead::findRecent(std::uint64_t Ticket) const noexcept {
  const auto Found = std::find_if(
      RecentTickets.begin(), RecentTickets.end(),
      [Ticket](const auto &Item) { return Item.Number == Ticket; });
  return Found == RecentTickets.end() ? nullptr : &*Found;
}

std::string writeHead(const ConfigHead &Head) {
  nlohmann::json Services = nlohmann::json::object();
  for (const auto &[Name, Entry] : Head.Services) {
    nlohmann::json Item{{"changed", Entry.Changed}, {"ticket", Entry.Ticket}};
    if (!Entry.Key.empty())
      Item["key"] = Entry.Key;
    Services[Name] = std::move(Item);
  }
  nlohmann::json Tickets = nlohmann::json::array();
  for (const AcceptedTicket &Ticket : Head.RecentTickets)
    Tickets.push_back(internal::toJson(Ticket));
  return nlohmann::json{{"revision", Head.Revision},
                        {"services", std::move(Services)},
                        {"tickets", std::move(Tickets)}}
      .dump();
}

core::Result<ConfigHead> readHead(std::string_view Text) {
  try {
    return internal::headFromJson(nlohmann::json::parse(Text));
  } catch (const nlohmann::json::exception &) {
    return make_error_code(core::Error::Malformed);
  }
}

std::string writeAccepted(const AcceptedTicket &Ticket) {
  return internal::toJson(Ticket).dump();
}

core::Result<AcceptedTicket> readAccepted(std::string_view Text) {
  try {
    return internal::acceptedTicketFromJson(nlohmann::json::parse(Text));
  } catch (const nlohmann::json::exception &) {
    return make_error_code(core::Error::Malformed);
  }
}

} // namespace jujubecart::store
