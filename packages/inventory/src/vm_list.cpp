#include <jujubecart/inventory/vm_list.hpp>

#include <jujubecart/core/config_json.hpp>
#include <jujubecart/core/json_reader.hpp>

namespace jujubecart::inventory {

namespace internal {

// Unknown keys are ignored, since the platform may add keys at any time.
void readVm(const nlohmann::json &Value, const std::string &Pointer,
            VmList &List, core::Findings &Report) {
  const std::size_t FindingsBefore = Report.items().size();
  core::JsonReader Reader(Value, Pointer, Report);
  const bool IsBackend = Reader.choice("role", {"entry", "backend"}, {}) == 1;
  const bool IsLeaving = Reader.choice("state", {"live", "leaving"}, {}) == 1;
  core::Member Vm;
  Vm.Id = Reader.string("id");
  Vm.Address = Reader.string("address");
  Vm.Zone = Reader.string("zone");
  Vm.Region = Reader.string("region");
  Vm.State = IsLeaving ? core::MemberState::Leaving : core::MemberState::Live;
  if (!Vm.Address.empty() && !core::isAddress(Vm.Address))
    Report.add(Reader.pointer("address"), "\"" + Vm.Address + "\"", "IP:port");
  if (Report.items().size() != FindingsBefore)
    return;
  if (IsBackend)
    List.BackendLeaving[Vm.Id] = IsLeaving;
  else
    List.EntryVms.push_back(std::move(Vm));
}

} // namespace internal

std::optional<VmList> parseVmList(std::string_view Text,
                                  core::Findings &Report) {
  const auto Value = core::parseJson(Text, Report);
  if (!Value)
    return std::nullopt;
  core::JsonReader Reader(*Value, "", Report);
  const nlohmann::json *Vms = Reader.array("vms", true);
  if (Vms == nullptr)
    return std::nullopt;
  VmList List;
  for (std::size_t Index = 0; Index < Vms->size(); ++Index)
    internal::readVm((*Vms)[Index], "/vms/" + std::to_string(Index), List,
                     Report);
  return List;
}

} // namespace jujubecart::inventory
