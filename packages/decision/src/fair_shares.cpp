#include <jujubecart/decision/internal/fair_shares.hpp>

#include <chrono>
#include <cmath>

namespace jujubecart::decision::internal {

namespace {

using namespace std::chrono_literals;

// Memory of the granted service: a workspace that was quiet for some seconds
// competes with one that was not as if it had none.
constexpr double ServiceMemoryS = 1;
// Memory of arrivals and grants. With 8 s a workspace of low priority got
// nothing in the first ten seconds of a load that filled all slots.
constexpr double CountMemoryS = 2;
// Operators require that no workspace is served less than a quarter as often as
// all; the priority gives way earlier, because what is known is late.
constexpr double MinRelativeGrants = 0.4;
// Fewer arrivals say nothing.
constexpr double MinArrivals = 1.5;
constexpr auto IdleTime = 60s;
constexpr auto ForgetInterval = 5s;

} // namespace

void FairShares::Decayed::add(double Value, double MemoryS,
                              core::TimePoint Now) {
  Sum = at(MemoryS, Now) + Value;
  At = Now;
}

double FairShares::Decayed::at(double MemoryS, core::TimePoint Now) const {
  return Sum == 0
             ? 0
             : Sum * std::exp(-std::chrono::duration<double>(Now - At).count() /
                              MemoryS);
}

void FairShares::recordArrival(std::uint64_t Workspace, core::TimePoint Now) {
  Active = Active || Workspace != 0;
  if (!Active)
    return;
  Workspaces[Workspace].Arrivals.add(1, CountMemoryS, Now);
  All.Arrivals.add(1, CountMemoryS, Now);
  if (ForgottenAt == core::TimePoint::min())
    ForgottenAt = Now;
  if (Now - ForgottenAt >= ForgetInterval)
    forgetIdle(Now);
}

void FairShares::recordGrant(std::uint64_t Workspace, double ServiceUs,
                             core::TimePoint Now) {
  if (!Active)
    return;
  Record &Item = Workspaces[Workspace];
  Item.ServiceUs.add(ServiceUs, ServiceMemoryS, Now);
  Item.Grants.add(1, CountMemoryS, Now);
  All.Grants.add(1, CountMemoryS, Now);
}

double FairShares::serviceUs(std::uint64_t Workspace,
                             core::TimePoint Now) const {
  const auto Found = Workspaces.find(Workspace);
  return Found == Workspaces.end()
             ? 0
             : Found->second.ServiceUs.at(ServiceMemoryS, Now);
}

bool FairShares::starved(std::uint64_t Workspace, core::TimePoint Now) const {
  const auto Found = Workspaces.find(Workspace);
  if (Found == Workspaces.end())
    return false;
  const double Arrivals = Found->second.Arrivals.at(CountMemoryS, Now);
  const double AllArrivals = All.Arrivals.at(CountMemoryS, Now);
  if (Arrivals < MinArrivals || AllArrivals <= 0)
    return false;
  return Found->second.Grants.at(CountMemoryS, Now) / Arrivals <
         MinRelativeGrants * All.Grants.at(CountMemoryS, Now) / AllArrivals;
}

void FairShares::forgetIdle(core::TimePoint Now) {
  ForgottenAt = Now;
  std::erase_if(Workspaces, [&](const auto &Item) {
    return Now - Item.second.Arrivals.At > IdleTime;
  });
}

} // namespace jujubecart::decision::internal
