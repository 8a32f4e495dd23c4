#include "fleet.hpp"

#include <algorithm>
#include <future>

namespace jujubectl {

namespace internal {

nlohmann::json fetchJson(const ConnectionOptions &Target,
                         const std::string &Address, const std::string &Path) {
  const auto Result = Target.client(Address).fetch(Path);
  if (!Result)
    return nullptr;
  return nlohmann::json::parse(Result->Body, nullptr, false);
}

std::vector<VmResponse> knownVms(const nlohmann::json &Status) {
  std::vector<VmResponse> Vms;
  for (const nlohmann::json &Member :
       Status.value("members", nlohmann::json::array()))
    Vms.push_back(VmResponse{.Vm = Member.value("id", ""),
                             .Endpoint = Member.value("operators", ""),
                             .State = Member.value("state", "")});
  std::sort(Vms.begin(), Vms.end(),
            [](const VmResponse &Left, const VmResponse &Right) {
              return Left.Vm < Right.Vm;
            });
  return Vms;
}

} // namespace internal

std::vector<VmResponse> fetchFromAllVms(const ConnectionOptions &Target,
                                        const std::string &Path) {
  const nlohmann::json Status =
      internal::fetchJson(Target, Target.Endpoint, "/status");
  if (!Status.is_object())
    return {};
  std::vector<VmResponse> Vms = internal::knownVms(Status);
  std::vector<std::future<nlohmann::json>> Pending;
  Pending.reserve(Vms.size());
  for (const VmResponse &Vm : Vms)
    Pending.push_back(std::async(std::launch::async, internal::fetchJson,
                                 std::cref(Target), Vm.Endpoint,
                                 std::cref(Path)));
  for (std::size_t Index = 0; Index < Vms.size(); ++Index) {
    Vms[Index].Body = Pending[Index].get();
    if (!Vms[Index].Body.is_object())
      Vms[Index].Body = nullptr;
  }
  return Vms;
}

} // namespace jujubectl
