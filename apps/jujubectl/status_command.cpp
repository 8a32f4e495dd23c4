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

std::string cellText(const nlohmann::json &Value, const char *Key) {
  if (!Value.contains(Key))
    return "-";
  const nlohmann::json &Member = Value[Key];
  return Member.is_string() ? Member.get<std::string>() : Member.dump();
}

void printVms(const std::vector<VmResponse> &Vms) {
  printRow("VM", "ZONE", "STATE", "REVISION", "READY", "IN FLIGHT", "ENDPOINT");
  for (const VmResponse &Vm : Vms) {
    if (Vm.Body.is_null()) {
      printRow(Vm.Vm, "-", Vm.State, "unreachable", "-", "-", Vm.Endpoint);
      continue;
    }
    printRow(
        Vm.Vm, cellText(Vm.Body.value("vm", nlohmann::json::object()), "zone"),
        Vm.State, cellText(Vm.Body, "revision"), cellText(Vm.Body, "ready"),
        cellText(Vm.Body, "in_flight"), Vm.Endpoint);
  }
}

void printServers(const std::vector<VmResponse> &Vms) {
  std::cout << '\n';
  printRow("DISPATCHER", "GROUP", "SERVER", "STATE", "IN FLIGHT", "LIMIT");
  for (const VmResponse &Vm : Vms) {
    if (Vm.Body.is_null())
      continue;
    for (const nlohmann::json &Group :
         Vm.Body.value("groups", nlohmann::json::array()))
      for (const nlohmann::json &Server :
           Group.value("servers", nlohmann::json::array()))
        printRow(Vm.Vm, cellText(Group, "group"), cellText(Server, "id"),
                 cellText(Server, "state"), cellText(Server, "in_flight"),
                 cellText(Server, "limit"));
  }
}

} // namespace internal

ExitCode showStatus(const ConnectionOptions &Target, bool Json) {
  const std::vector<VmResponse> Vms = fetchFromAllVms(Target, "/status");
  if (Vms.empty()) {
    std::cerr << "jujubectl: " << Target.Endpoint << " cannot be reached\n";
    return Unavailable;
  }
  if (!Json) {
    internal::printVms(Vms);
    internal::printServers(Vms);
    return Success;
  }
  nlohmann::json Output = nlohmann::json::array();
  for (const VmResponse &Vm : Vms)
    Output.push_back({{"vm", Vm.Vm},
                      {"endpoint", Vm.Endpoint},
                      {"state", Vm.State},
                      {"status", Vm.Body}});
  std::cout << Output.dump(2) << '\n';
  return Success;
}

ExitCode listServices(const ConnectionOptions &Target, bool Json) {
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
        Name, internal::cellText(Service, "kind"),
        std::to_string(
            Service.value("servers", nlohmann::json::array()).size()),
        internal::cellText(Service, "changed"),
        internal::cellText(Service, "priority"));
  return Success;
}

} // namespace jujubectl
