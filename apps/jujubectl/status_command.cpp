#include "commands.hpp"

#include <iomanip>
#include <iostream>

namespace jujubectl {

namespace internal {

constexpr int ColumnWidth = 14;

template <typename... Cells> void printRow(const Cells &...Values) {
  ((std::cout << std::left << std::setw(ColumnWidth) << Values << ' '), ...);
  std::cout << '\n';
}

std::string text(const nlohmann::json &Value, const char *Key) {
  if (!Value.contains(Key))
    return "-";
  const nlohmann::json &Member = Value[Key];
  return Member.is_string() ? Member.get<std::string>() : Member.dump();
}

void printVms(const std::vector<VmAnswer> &Vms) {
  printRow("VM", "ZONE", "STATE", "REVISION", "READY", "IN FLIGHT", "ENDPOINT");
  for (const VmAnswer &Vm : Vms) {
    if (Vm.Body.is_null()) {
      printRow(Vm.Vm, "-", Vm.State, "unreachable", "-", "-", Vm.Endpoint);
      continue;
    }
    printRow(Vm.Vm, text(Vm.Body.value("vm", nlohmann::json::object()), "zone"),
             Vm.State, text(Vm.Body, "revision"), text(Vm.Body, "ready"),
             text(Vm.Body, "in_flight"), Vm.Endpoint);
  }
}

void printServers(const std::vector<VmAnswer> &Vms) {
  std::cout << '\n';
  printRow("DISPATCHER", "GROUP", "SERVER", "STATE", "IN FLIGHT", "LIMIT");
  for (const VmAnswer &Vm : Vms) {
    if (Vm.Body.is_null())
      continue;
    for (const nlohmann::json &Group :
         Vm.Body.value("groups", nlohmann::json::array()))
      for (const nlohmann::json &Server :
           Group.value("servers", nlohmann::json::array()))
        printRow(Vm.Vm, text(Group, "group"), text(Server, "id"),
                 text(Server, "state"), text(Server, "in_flight"),
                 text(Server, "limit"));
  }
}

} // namespace internal

ExitCode showStatus(const Connection &Target, bool Json) {
  const std::vector<VmAnswer> Vms = fetchFromAll(Target, "/status");
  if (Vms.empty()) {
    std::cerr << "jujubectl: " << Target.Endpoint << " cannot be reached\n";
    return Unavailable;
  }
  if (!Json) {
    internal::printVms(Vms);
    internal::printServers(Vms);
    return Success;
  }
  nlohmann::json All = nlohmann::json::array();
  for (const VmAnswer &Vm : Vms)
    All.push_back({{"vm", Vm.Vm},
                   {"endpoint", Vm.Endpoint},
                   {"state", Vm.State},
                   {"status", Vm.Body}});
  std::cout << All.dump(2) << '\n';
  return Success;
}

ExitCode listServices(const Connection &Target, bool Json) {
  const auto Result = Target.client(Target.Endpoint).fetch("/services");
  const nlohmann::json Body =
      Result ? nlohmann::json::parse(Result->Body, nullptr, false)
             : nlohmann::json();
  if (!Body.is_object()) {
    std::cerr << "jujubectl: " << Target.Endpoint << " cannot be reached\n";
    return Unavailable;
  }
  if (Json) {
    std::cout << Body.dump(2) << '\n';
    return Success;
  }
  std::cout << "revision " << Body.value("revision", 0) << '\n';
  internal::printRow("SERVICE", "KIND", "SERVERS", "CHANGED", "PRIORITY");
  for (const auto &[Name, Service] :
       Body.value("services", nlohmann::json::object()).items())
    internal::printRow(
        Name, internal::text(Service, "kind"),
        std::to_string(
            Service.value("servers", nlohmann::json::array()).size()),
        internal::text(Service, "changed"),
        internal::text(Service, "priority"));
  return Success;
}

} // namespace jujubectl
