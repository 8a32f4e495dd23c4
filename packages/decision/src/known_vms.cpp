#include <jujubecart/decision/known_vms.hpp>

#include <algorithm>

namespace jujubecart::decision {

namespace {

// A VM that is cut off cannot be told from one that ended without notice. For
// this time the former is assumed, so that the quotas are not used twice; if it
// has ended, they are smaller by its part meanwhile.
constexpr std::chrono::minutes LostMemory{5};

} // namespace

void KnownVms::update(Ids NewMembers, const Ids &Leaving, core::TimePoint Now) {
  for (const std::string &Vm : Members)
    if (!NewMembers.contains(Vm) && !Leaving.contains(Vm))
      ForgetAt.emplace(Vm, Now + LostMemory);
  std::erase_if(ForgetAt, [&](const auto &Item) {
    return Item.second <= Now || NewMembers.contains(Item.first) ||
           Leaving.contains(Item.first);
  });
  Members = std::move(NewMembers);
}

core::TimePoint KnownVms::nextChange() const {
  core::TimePoint Out = core::TimePoint::max();
  for (const auto &[Vm, At] : ForgetAt)
    Out = std::min(Out, At);
  return Out;
}

} // namespace jujubecart::decision
