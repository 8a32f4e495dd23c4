#include <jujubecart/core/config_json.hpp>
#include <jujubecart/core/endpoint.hpp>
#include <jujubecart/core/json_reader.hpp>

#include <nlohmann/json.hpp>

namespace jujubecart::core {

namespace internal {

constexpr std::int64_t MaxSlots = 10000;
constexpr std::int64_t MaxConnections = 100000;
constexpr std::int64_t MaxDeadlineMs = 600000;
constexpr std::int64_t MaxPriority = 9;
constexpr std::int64_t MaxProbesPerS = 100000;
// Claims are kept in memory: 1000 orders per second retained for one hour take
// about 86 MB.
constexpr std::int64_t MaxOrderKeyRetentionS = 3600;

const std::vector<std::string> ServiceKinds{"lookup", "order"};
const std::vector<std::string> ServerStates{"active", "draining"};
const std::vector<std::string> OrderKeyModes{"durable", "memory"};
const std::vector<std::string> PolicyProfiles{"tail", "cost", "objective"};

RouteRule readRule(const nlohmann::json &Value, const std::string &Pointer,
                   Findings &Report) {
  JsonReader Reader(Value, Pointer, Report);
  RouteRule Rule;
  Rule.Host = Reader.stringOr("host", "");
  Rule.PathPrefix = Reader.stringOr("path_prefix", "/");
  if (Rule.PathPrefix.front() != '/')
    Report.add(Reader.pointer("path_prefix"), "\"" + Rule.PathPrefix + "\"",
               "path that starts with /");
  Reader.rejectUnknownKeys();
  return Rule;
}

BackendServer readServer(const nlohmann::json &Value,
                         const std::string &Pointer, Findings &Report) {
  JsonReader Reader(Value, Pointer, Report);
  BackendServer Server;
  Server.Id = Reader.string("id");
  Server.Address = Reader.string("address");
  if (!Server.Address.empty() && !isAddress(Server.Address))
    Report.add(Reader.pointer("address"), "\"" + Server.Address + "\"",
               "IP:port");
  Server.Zone = Reader.string("zone");
  Server.Slots =
      static_cast<std::uint32_t>(Reader.integer("slots", 1, MaxSlots));
  Server.Connections = static_cast<std::uint32_t>(
      Reader.integerOr("connections", 1, MaxConnections, 100));
  Server.State =
      static_cast<ServerState>(Reader.choice("state", ServerStates, 0));
  Reader.rejectUnknownKeys();
  return Server;
}

template <typename Item, typename ReadItem>
std::vector<Item> readItems(const nlohmann::json *Values,
                            const std::string &Pointer, Findings &Report,
                            const ReadItem &Read) {
  std::vector<Item> Items;
  if (Values == nullptr)
    return Items;
  for (std::size_t Index = 0; Index < Values->size(); ++Index)
    Items.push_back(
        Read((*Values)[Index], Pointer + "/" + std::to_string(Index), Report));
  return Items;
}

void checkUniqueServers(const std::vector<BackendServer> &Servers,
                        const std::string &Pointer, Findings &Report) {
  std::set<std::string> Ids;
  for (std::size_t Index = 0; Index < Servers.size(); ++Index)
    if (!Servers[Index].Id.empty() && !Ids.insert(Servers[Index].Id).second)
      Report.add(Pointer + "/" + std::to_string(Index) + "/id",
                 "duplicate id \"" + Servers[Index].Id + "\"",
                 "id that is unique within the service");
}

std::map<std::string, std::string>
readZones(const nlohmann::json *Value, const std::string &Pointer,
          const std::vector<BackendServer> &Servers, Findings &Report) {
  std::map<std::string, std::string> Zones;
  if (Value != nullptr) {
    JsonReader Reader(*Value, Pointer, Report);
    for (const auto &[Zone, Region] : Value->items())
      Zones[Zone] = Reader.string(Zone);
  }
  for (std::size_t Index = 0; Index < Servers.size(); ++Index)
    if (!Servers[Index].Zone.empty() && Zones.count(Servers[Index].Zone) == 0)
      Report.add(Pointer, "no entry for zone \"" + Servers[Index].Zone + "\"",
                 "region of each availability zone of a backend server");
  return Zones;
}

} // namespace internal

bool isAddress(const std::string &Text) {
  const auto Endpoint = parseEndpoint(Text);
  return Endpoint && Endpoint->port() != 0;
}

ServiceConfig readService(const std::string &Name, const nlohmann::json &Value,
                          const std::string &Pointer, Findings &Report) {
  JsonReader Reader(Value, Pointer, Report);
  ServiceConfig Service;
  Service.Name = Name;
  Service.Kind = static_cast<ServiceKind>(
      Reader.choice("kind", internal::ServiceKinds, {}));
  Service.Rules = internal::readItems<RouteRule>(Reader.array("rules", true),
                                                 Reader.pointer("rules"),
                                                 Report, internal::readRule);
  Service.Servers = internal::readItems<BackendServer>(
      Reader.array("servers", true), Reader.pointer("servers"), Report,
      internal::readServer);
  internal::checkUniqueServers(Service.Servers, Reader.pointer("servers"),
                               Report);
  Service.Zones =
      internal::readZones(Reader.object("zones", true), Reader.pointer("zones"),
                          Service.Servers, Report);
  Service.DefaultDeadlineMs = static_cast<std::uint32_t>(Reader.integerOr(
      "default_deadline_ms", 1, internal::MaxDeadlineMs, 2000));
  Service.Priority = static_cast<std::uint8_t>(
      Reader.integerOr("priority", 0, internal::MaxPriority, 5));
  Service.ProbesPerS = static_cast<std::uint32_t>(
      Reader.integerOr("measure_per_s", 0, internal::MaxProbesPerS, 10));
  Service.OrderKeys = static_cast<OrderKeyMode>(
      Reader.choice("order_keys", internal::OrderKeyModes, 0));
  Service.OrderKeyRetentionS = static_cast<std::uint32_t>(Reader.integerOr(
      "order_key_retention_s", 1, internal::MaxOrderKeyRetentionS, 600));
  Service.Profile = static_cast<PolicyProfile>(
      Reader.choice("profile", internal::PolicyProfiles, 0));
  Reader.rejectUnknownKeys();
  return Service;
}

nlohmann::json writeService(const ServiceConfig &Service) {
  nlohmann::json Rules = nlohmann::json::array();
  for (const RouteRule &Rule : Service.Rules) {
    nlohmann::json Item{{"path_prefix", Rule.PathPrefix}};
    if (!Rule.Host.empty())
      Item["host"] = Rule.Host;
    Rules.push_back(std::move(Item));
  }
  nlohmann::json Servers = nlohmann::json::array();
  for (const BackendServer &Server : Service.Servers)
    Servers.push_back(
        {{"id", Server.Id},
         {"address", Server.Address},
         {"zone", Server.Zone},
         {"slots", Server.Slots},
         {"connections", Server.Connections},
         {"state",
          internal::ServerStates[static_cast<std::size_t>(Server.State)]}});
  return {
      {"kind", internal::ServiceKinds[static_cast<std::size_t>(Service.Kind)]},
      {"rules", std::move(Rules)},
      {"servers", std::move(Servers)},
      {"zones", Service.Zones},
      {"default_deadline_ms", Service.DefaultDeadlineMs},
      {"priority", Service.Priority},
      {"measure_per_s", Service.ProbesPerS},
      {"order_keys",
       internal::OrderKeyModes[static_cast<std::size_t>(Service.OrderKeys)]},
      {"order_key_retention_s", Service.OrderKeyRetentionS},
      {"profile",
       internal::PolicyProfiles[static_cast<std::size_t>(Service.Profile)]},
  };
}

} // namespace jujubecart::core
