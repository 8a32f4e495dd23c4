#include <criterion/criterion.h>
#include <jujubecart/decision/group_choice.hpp>

#include <algorithm>
#include <map>
#include <numeric>
#include <vector>

using namespace jujubecart;
using namespace jujubecart::decision;
using namespace std::chrono_literals;

namespace {

/// @brief Eight groups of one service, and the calls that VMs send to them.
struct Service {
  static constexpr std::size_t Groups = 8;
  static constexpr int CallsPerVm = 200;

  core::TimePoint Now{1h};
  std::vector<GroupCandidate> Candidates;

  Service() {
    for (std::uint64_t Group = 1; Group <= Groups; ++Group)
      Candidates.push_back({.Group = Group * 7919, .Capacity = 64});
  }

  /// @brief Calls of one VM by group.
  std::vector<int> callsOf(GroupChoice &Vm) const {
    std::vector<int> Calls(Groups);
    for (int Call = 0; Call < CallsPerVm; ++Call)
      ++Calls[Vm.choose(Candidates, Now)];
    return Calls;
  }
};

} // namespace

// Guards against connections to every server of a large service from every VM,
// none of which is used again before it is closed.
Test(GroupChoice, at_low_load_calls_go_to_two_groups) {
  const Service With;
  GroupChoice Vm("vm-1", 1);
  std::vector<int> Calls = With.callsOf(Vm);
  std::sort(Calls.rbegin(), Calls.rend());
  cr_assert_geq(Calls[0] + Calls[1], Service::CallsPerVm * 8 / 10);
  cr_assert_geq(Calls[1], Service::CallsPerVm / 4);
}

// Guards against VMs that all prefer the same groups.
Test(GroupChoice, load_of_many_vms_is_even) {
  const Service With;
  constexpr int Vms = 300;
  std::vector<int> Total(Service::Groups);
  for (int Vm = 0; Vm < Vms; ++Vm) {
    GroupChoice Choice("vm-" + std::to_string(Vm), 1 + Vm);
    const std::vector<int> Calls = With.callsOf(Choice);
    std::transform(Total.begin(), Total.end(), Calls.begin(), Total.begin(),
                   std::plus<>());
  }
  const int Mean = Vms * Service::CallsPerVm / int(Service::Groups);
  const auto [Least, Most] = std::minmax_element(Total.begin(), Total.end());
  cr_assert_geq(*Least, Mean * 2 / 3);
  cr_assert_leq(*Most, Mean * 4 / 3);
}

// Guards against calls that wait at a loaded group while another one has free
// slots.
Test(GroupChoice, at_high_load_calls_go_to_groups_with_spare_slots) {
  const Service With;
  GroupChoice Vm("vm-1", 1);
  for (const GroupCandidate &Each : With.Candidates)
    Vm.record(Each.Group, 100, With.Now);
  Vm.record(With.Candidates[3].Group, 50, With.Now);
  const std::vector<int> Calls = With.callsOf(Vm);
  cr_assert_geq(Calls[3], Service::CallsPerVm / 4);
  for (const int Each : Calls)
    cr_assert_gt(Each, 0);
}

// Guards against a group that is avoided for good, since it gets no calls whose
// grants would report a lower price.
Test(GroupChoice, outdated_price_is_ignored) {
  Service With;
  GroupChoice Vm("vm-1", 1);
  for (const GroupCandidate &Each : With.Candidates)
    Vm.record(Each.Group, 100, With.Now);
  With.Now += 5s;
  std::vector<int> Calls = With.callsOf(Vm);
  std::sort(Calls.rbegin(), Calls.rend());
  cr_assert_geq(Calls[0] + Calls[1], Service::CallsPerVm * 8 / 10);
}
