#include <jujubecart/operators/settings_reader.hpp>

#include <jujubecart/core/config_json.hpp>
#include <jujubecart/core/duration_text.hpp>
#include <jujubecart/core/json_reader.hpp>
#include <jujubecart/operators/text_file.hpp>

#include <boost/asio/ip/address.hpp>
#include <fstream>
#include <optional>

namespace jujubecart::operators {

namespace internal {

using core::Findings;
using core::JsonReader;
using nlohmann::json;

// docs/settings.md states the unit, default, range and reason of each setting.
constexpr std::int64_t MaxConnections = 1000000;
constexpr std::int64_t MinHeaderBytes = 1024;
constexpr std::int64_t MaxHeaderBytes = 1048576;
constexpr std::int64_t MaxBodyBytes = 1099511627776;
constexpr std::int64_t MaxTimeoutMs = 3600000;
constexpr std::int64_t MaxWorkers = 64;
constexpr std::int64_t MaxShutdownS = 3600;
constexpr std::int64_t MaxTimelineEvents = 1000000;

const std::vector<std::string> PolicyNames{
    "dispatcher", "two-choices", "round-robin", "random", "least-reported"};
constexpr double MinProcessorShare = 0.001;
constexpr double MinCores = 0.1;
constexpr double MaxCores = 1024;
// In the order of core::LogLevel.
const std::vector<std::string> LogLevelNames{"debug", "info", "warning",
                                             "error"};

// Reads an absent object as an empty one, so that the defaults of its members
// apply.
const json &objectOrEmpty(JsonReader &Parent, std::string_view Key,
                          bool Required) {
  static const json Empty = json::object();
  const json *Member = Parent.object(Key, Required);
  return Member == nullptr ? Empty : *Member;
}

std::uint32_t unsignedOr(JsonReader &Reader, std::string_view Key,
                         std::int64_t Min, std::int64_t Max,
                         std::uint32_t Default) {
  return static_cast<std::uint32_t>(Reader.integerOr(Key, Min, Max, Default));
}

void checkAddress(const std::string &Text, const std::string &Pointer,
                  Findings &Report) {
  if (!Text.empty() && !core::isAddress(Text))
    Report.add(Pointer, "\"" + Text + "\"", "IP:port");
}

std::string readAddress(JsonReader &Reader, std::string_view Key,
                        Findings &Report) {
  std::string Text = Reader.string(Key);
  checkAddress(Text, Reader.pointer(Key), Report);
  return Text;
}

std::vector<std::string> readAddresses(JsonReader &Reader, std::string_view Key,
                                       Findings &Report) {
  std::vector<std::string> Items = Reader.strings(Key);
  for (std::size_t Index = 0; Index < Items.size(); ++Index)
    checkAddress(Items[Index],
                 Reader.pointer(Key) + "/" + std::to_string(Index), Report);
  return Items;
}

void checkReadable(const std::string &File, const std::string &Pointer,
                   Findings &Report) {
  if (!File.empty() && !std::ifstream(File))
    Report.add(Pointer, "\"" + File + "\"", "readable file");
}

TlsFiles readTls(JsonReader &Parent, Findings &Report) {
  TlsFiles Files;
  const json *Value = Parent.object("tls", false);
  if (Value == nullptr)
    return Files;
  JsonReader Reader(*Value, Parent.pointer("tls"), Report);
  Files.Certificate = Reader.string("certificate");
  Files.Key = Reader.string("key");
  Files.Ca = Reader.string("ca");
  checkReadable(Files.Certificate, Reader.pointer("certificate"), Report);
  checkReadable(Files.Key, Reader.pointer("key"), Report);
  checkReadable(Files.Ca, Reader.pointer("ca"), Report);
  Reader.rejectUnknownKeys();
  return Files;
}

VmSettings readVm(JsonReader &Root, Findings &Report) {
  JsonReader Reader(objectOrEmpty(Root, "vm", true), "/vm", Report);
  VmSettings Vm{.Id = Reader.string("id"),
                .Zone = Reader.string("zone"),
                .Region = Reader.string("region"),
                .Address = Reader.stringOr("address", "")};
  Vm.ProcessorShare = Reader.numberOr("processor_share", MinProcessorShare, 1,
                                      Vm.ProcessorShare);
  Vm.Cores = Reader.numberOr("cores", MinCores, MaxCores, Vm.Cores);
  boost::system::error_code Code;
  if (!Vm.Address.empty())
    boost::asio::ip::make_address(Vm.Address, Code);
  if (Code)
    Report.add(Reader.pointer("address"), "\"" + Vm.Address + "\"",
               "IP address");
  Reader.rejectUnknownKeys();
  return Vm;
}

CallerSettings readCallers(JsonReader &Root, Findings &Report) {
  JsonReader Reader(objectOrEmpty(Root, "callers", true), "/callers", Report);
  CallerSettings Callers;
  Callers.Listen = readAddress(Reader, "listen", Report);
  Callers.MaxConnections = unsignedOr(Reader, "max_connections", 1,
                                      MaxConnections, Callers.MaxConnections);
  Callers.HeaderLimitBytes =
      unsignedOr(Reader, "header_limit_bytes", MinHeaderBytes, MaxHeaderBytes,
                 Callers.HeaderLimitBytes);
  Callers.BodyLimitBytes = static_cast<std::uint64_t>(
      Reader.integerOr("body_limit_bytes", 0, MaxBodyBytes,
                       static_cast<std::int64_t>(Callers.BodyLimitBytes)));
  Callers.HeaderTimeoutMs = unsignedOr(Reader, "header_timeout_ms", 1,
                                       MaxTimeoutMs, Callers.HeaderTimeoutMs);
  Callers.IdleTimeoutMs = unsignedOr(Reader, "idle_timeout_ms", 1, MaxTimeoutMs,
                                     Callers.IdleTimeoutMs);
  Callers.MaxDeadlineMs = unsignedOr(Reader, "max_deadline_ms", 1, MaxTimeoutMs,
                                     Callers.MaxDeadlineMs);
  Callers.HedgeAfterMs = unsignedOr(Reader, "hedge_after_ms", 0, MaxTimeoutMs,
                                    Callers.HedgeAfterMs);
  Reader.rejectUnknownKeys();
  return Callers;
}

OperatorSettings readOperators(JsonReader &Root, Findings &Report) {
  JsonReader Reader(objectOrEmpty(Root, "operators", true), "/operators",
                    Report);
  OperatorSettings Operators;
  Operators.Listen = readAddress(Reader, "listen", Report);
  Operators.Tls = readTls(Reader, Report);
  Reader.rejectUnknownKeys();
  return Operators;
}

PeerSettings readPeers(JsonReader &Root, Findings &Report) {
  JsonReader Reader(objectOrEmpty(Root, "peers", true), "/peers", Report);
  PeerSettings Peers;
  Peers.Listen = readAddress(Reader, "listen", Report);
  Peers.Advertise = Reader.stringOr("advertise", "");
  if (!Peers.Advertise.empty())
    checkAddress(Peers.Advertise, Reader.pointer("advertise"), Report);
  Peers.Seeds = readAddresses(Reader, "seeds", Report);
  Peers.Tls = readTls(Reader, Report);
  Peers.SuspectAfterMs = unsignedOr(Reader, "suspect_after_ms", 100,
                                    MaxTimeoutMs, Peers.SuspectAfterMs);
  Peers.RemoveAfterMs = unsignedOr(Reader, "remove_after_ms", 100, MaxTimeoutMs,
                                   Peers.RemoveAfterMs);
  if (Peers.RemoveAfterMs < Peers.SuspectAfterMs)
    Report.add("/peers/remove_after_ms", std::to_string(Peers.RemoveAfterMs),
               "at least suspect_after_ms (" +
                   std::to_string(Peers.SuspectAfterMs) + ")");
  Reader.rejectUnknownKeys();
  return Peers;
}

StoreSettings readStore(JsonReader &Root, Findings &Report) {
  JsonReader Reader(objectOrEmpty(Root, "store", true), "/store", Report);
  StoreSettings Store;
  Store.Endpoints = readAddresses(Reader, "endpoints", Report);
  if (Store.Endpoints.empty())
    Report.add("/store/endpoints", "no address", "at least one IP:port");
  Store.TimeoutMs =
      unsignedOr(Reader, "timeout_ms", 1, MaxTimeoutMs, Store.TimeoutMs);
  Reader.rejectUnknownKeys();
  return Store;
}

// Accepts a number of milliseconds, whose fraction is cut off, or text with a
// unit such as `1500ms` or `2.5s`, so that deployment tools can pass durations
// in their own notation.
std::uint32_t readDuration(const json &Value, const std::string &Pointer,
                           std::uint32_t Default, Findings &Report) {
  if (Value.is_null())
    return Default;
  std::optional<std::uint32_t> Milliseconds;
  if (Value.is_string())
    Milliseconds =
        core::parseMilliseconds(Value.get_ref<const std::string &>());
  else if (Value.is_number() && Value.get<double>() >= 1 &&
           Value.get<double>() <= MaxTimeoutMs)
    Milliseconds = static_cast<std::uint32_t>(Value.get<double>());
  if (Milliseconds && *Milliseconds >= 1 && *Milliseconds <= MaxTimeoutMs)
    return *Milliseconds;
  Report.add(Pointer, Value.dump(), "time such as 1500, \"1500ms\", \"2.5s\"");
  return Default;
}

// A VM that hears from the store all the time knows what it accepted 1.7 s ago
// (see docs/design/workspaces.md); with the margin for the store's delays it
// would refuse callers with a shorter bound.
constexpr std::uint32_t MinRevokeMs = 4000;

DirectorySettings readDirectory(JsonReader &Root, Findings &Report) {
  DirectorySettings Directory;
  const json *Value = Root.object("directory", false);
  if (Value == nullptr)
    return Directory;
  Directory.Enabled = true;
  JsonReader Reader(*Value, "/directory", Report);
  if (const json *Zones = Reader.object("zones", true))
    for (const auto &[Zone, Region] : Zones->items()) {
      if (Region.is_string())
        Directory.Zones.emplace(Zone, Region.get<std::string>());
      else
        Report.add("/directory/zones/" + Zone, Region.dump(), "region name");
    }
  Directory.GraceMs = readDuration(Reader.value("grace"), "/directory/grace",
                                   Directory.GraceMs, Report);
  Directory.LeaveMs = readDuration(Reader.value("leave"), "/directory/leave",
                                   Directory.LeaveMs, Report);
  const json &Revoke = Reader.value("revoke");
  Directory.RevokeMs =
      readDuration(Revoke, "/directory/revoke", Directory.RevokeMs, Report);
  if (Directory.RevokeMs != 0 && Directory.RevokeMs < MinRevokeMs)
    Report.add("/directory/revoke", Revoke.dump(), "at least 4000 ms");
  Reader.rejectUnknownKeys();
  return Directory;
}

RetrySettings readRetries(JsonReader &Root, Findings &Report) {
  constexpr std::uint32_t MaxFleetBurst = 1000000;
  RetrySettings Retries;
  JsonReader Reader(objectOrEmpty(Root, "retries", false), "/retries", Report);
  Retries.Ratio = Reader.numberOr("ratio", 0, 1, Retries.Ratio);
  Retries.FleetBurst =
      unsignedOr(Reader, "fleet_burst", 0, MaxFleetBurst, Retries.FleetBurst);
  Reader.rejectUnknownKeys();
  return Retries;
}

QuotaSettings readQuotas(JsonReader &Root, Findings &Report) {
  // A window is counted in 50 slots.
  constexpr std::uint32_t MinWindowMs = 500;
  constexpr double MaxSlack = 1e6;
  QuotaSettings Quotas;
  JsonReader Reader(objectOrEmpty(Root, "quotas", false), "/quotas", Report);
  const json &Window = Reader.value("window");
  Quotas.WindowMs =
      readDuration(Window, "/quotas/window", Quotas.WindowMs, Report);
  if (Quotas.WindowMs < MinWindowMs)
    Report.add("/quotas/window", Window.dump(), "at least 500 ms");
  Quotas.Excess = Reader.numberOr("excess", 0, 1, Quotas.Excess);
  Quotas.Slack = Reader.numberOr("slack", 0, MaxSlack, Quotas.Slack);
  Reader.rejectUnknownKeys();
  return Quotas;
}

ZoneSettings readZones(JsonReader &Root, Findings &Report) {
  // At this price a call of 1 kB costs as much as one call is worth.
  constexpr double MaxPricePerGb = 1e6;
  ZoneSettings Zones;
  JsonReader Reader(objectOrEmpty(Root, "zones", false), "/zones", Report);
  if (!Reader.value("price_per_gb").is_null())
    Zones.PricePerGb = Reader.numberOr("price_per_gb", 0, MaxPricePerGb, 0);
  Reader.rejectUnknownKeys();
  return Zones;
}

std::string readPlatform(JsonReader &Root, Findings &Report) {
  const json *Value = Root.object("platform", false);
  if (Value == nullptr)
    return {};
  JsonReader Reader(*Value, "/platform", Report);
  std::string Endpoint = readAddress(Reader, "endpoint", Report);
  Reader.rejectUnknownKeys();
  return Endpoint;
}

core::LogLevel readLogLevel(JsonReader &Root, Findings &Report) {
  constexpr std::size_t InfoIndex = 1;
  JsonReader Reader(objectOrEmpty(Root, "log", false), "/log", Report);
  const std::size_t Index = Reader.choice("level", LogLevelNames, InfoIndex);
  Reader.rejectUnknownKeys();
  return static_cast<core::LogLevel>(Index);
}

} // namespace internal

Settings readSettings(std::string_view Text, core::Findings &Report) {
  Settings Result;
  const auto Value = core::parseJson(Text, Report);
  if (!Value)
    return Result;
  core::JsonReader Root(*Value, "", Report);
  if (!Value->is_object())
    return Result;
  Result.Vm = internal::readVm(Root, Report);
  Result.Callers = internal::readCallers(Root, Report);
  Result.Operators = internal::readOperators(Root, Report);
  Result.Peers = internal::readPeers(Root, Report);
  Result.Store = internal::readStore(Root, Report);
  Result.Directory = internal::readDirectory(Root, Report);
  Result.Retries = internal::readRetries(Root, Report);
  Result.Quotas = internal::readQuotas(Root, Report);
  Result.Zones = internal::readZones(Root, Report);
  Result.PlatformEndpoint = internal::readPlatform(Root, Report);
  Result.Policy =
      internal::PolicyNames[Root.choice("policy", internal::PolicyNames, 0)];
  Result.Workers = internal::unsignedOr(Root, "workers", 1,
                                        internal::MaxWorkers, Result.Workers);
  Result.ShutdownDeadlineS =
      internal::unsignedOr(Root, "shutdown_deadline_s", 0,
                           internal::MaxShutdownS, Result.ShutdownDeadlineS);
  Result.TimelineEvents =
      internal::unsignedOr(Root, "timeline_events", 0,
                           internal::MaxTimelineEvents, Result.TimelineEvents);
  Result.LogLevel = internal::readLogLevel(Root, Report);
  Root.rejectUnknownKeys();
  return Result;
}

Settings readSettingsFile(const std::string &File, core::Findings &Report) {
  const auto Text = readTextFile(File);
  if (!Text) {
    Report.add("", "unreadable or empty file", "readable JSON file");
    return {};
  }
  return readSettings(*Text, Report);
}

} // namespace jujubecart::operators
