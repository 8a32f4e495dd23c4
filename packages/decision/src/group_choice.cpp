#include <jujubecart/decision/group_choice.hpp>

#include <jujubecart/core/hash.hpp>

#include <algorithm>
#include <vector>

namespace jujubecart::decision {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t HomeGroups = 2;
// A home group is preferred while its price is below this, which stands for a
// utilization of two thirds. The load of the groups differs by about a sixth,
// because the home groups of the VMs are random.
constexpr double MaxHomePrice = 0.33;
// Weight of a home group relative to its capacity. Some calls still go to the
// other groups and learn their prices.
constexpr double HomeWeight = 32;
constexpr double MinSpareShare = 0.1;
constexpr auto ReportLifetime = 2s;
constexpr double PercentPerUnit = 100;

/// @brief Ranks of the candidates for this VM, lower first.
std::vector<std::uint64_t>
homeOrder(const std::string &VmId, std::span<const GroupCandidate> Candidates) {
  std::vector<std::uint64_t> Order;
  Order.reserve(Candidates.size());
  for (const GroupCandidate &Each : Candidates)
    Order.push_back(core::hash64(VmId, Each.Group));
  return Order;
}

/// @brief Highest rank of a home group.
std::uint64_t homeLimit(std::vector<std::uint64_t> Order) {
  const std::size_t Last = std::min(HomeGroups, Order.size()) - 1;
  std::nth_element(Order.begin(),
                   Order.begin() + static_cast<std::ptrdiff_t>(Last),
                   Order.end());
  return Order[Last];
}

} // namespace

GroupChoice::GroupChoice(std::string VmId, std::uint32_t Seed)
    : VmId(std::move(VmId)), Random(Seed) {}

void GroupChoice::record(std::uint64_t Group, std::uint32_t PricePercent,
                         core::TimePoint Now) {
  Reports[Group] = {.Price = std::min(PricePercent / PercentPerUnit, 1.0),
                    .At = Now};
}

double GroupChoice::priceOf(std::uint64_t Group, core::TimePoint Now) const {
  const auto Found = Reports.find(Group);
  if (Found == Reports.end() || Now - Found->second.At > ReportLifetime)
    return 0;
  return Found->second.Price;
}

std::vector<double>
GroupChoice::weights(std::span<const GroupCandidate> Candidates,
                     core::TimePoint Now) const {
  const std::vector<std::uint64_t> Order = homeOrder(VmId, Candidates);
  const std::uint64_t Limit = homeLimit(Order);
  std::vector<double> Weights;
  Weights.reserve(Candidates.size());
  for (std::size_t At = 0; At < Candidates.size(); ++At) {
    const double Price = priceOf(Candidates[At].Group, Now);
    const bool Home = Order[At] <= Limit && Price < MaxHomePrice;
    Weights.push_back(double(Candidates[At].Capacity) *
                      std::max(1 - Price, MinSpareShare) *
                      (Home ? HomeWeight : 1));
  }
  return Weights;
}

std::size_t GroupChoice::choose(std::span<const GroupCandidate> Candidates,
                                core::TimePoint Now) {
  if (Candidates.size() == 1)
    return 0;
  const std::vector<double> Weights = weights(Candidates, Now);
  std::discrete_distribution<std::size_t> Chosen(Weights.begin(),
                                                 Weights.end());
  return Chosen(Random);
}

} // namespace jujubecart::decision
