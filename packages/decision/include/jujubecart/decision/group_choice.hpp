#ifndef JUJUBECART_DECISION_GROUP_CHOICE_HPP
#define JUJUBECART_DECISION_GROUP_CHOICE_HPP

#include <jujubecart/core/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <random>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace jujubecart::decision {

/// @brief Dispatch group from which a call may get a server.
struct GroupCandidate {
  /// Hash of the group name.
  std::uint64_t Group = 0;
  /// Total number of slots of its servers.
  std::uint64_t Capacity = 0;
};

/// @brief Chooses the dispatch group of a call on an entry VM. At low load the
/// calls of a VM go to two home groups, so that few servers serve them and
/// connections are reused; at high load they spread over all groups, most to
/// those with spare slots.
class GroupChoice {
public:
  /// @param VmId Id of this VM; VMs have different home groups.
  GroupChoice(std::string VmId, std::uint32_t Seed);

  /// @brief Records the load that the dispatcher of a group reported.
  /// @param PricePercent Opportunity cost of a slot in percent of a call: 0 at
  /// low load, 100 if the arriving calls need all slots.
  void record(std::uint64_t Group, std::uint32_t PricePercent,
              core::TimePoint Now);

  /// @brief Chooses one of the candidates at random.
  /// @param Candidates At least one.
  /// @return Its index.
  [[nodiscard]] std::size_t choose(std::span<const GroupCandidate> Candidates,
                                   core::TimePoint Now);

  /// @brief Weights with which choose() draws one of the candidates.
  [[nodiscard]] std::vector<double>
  weights(std::span<const GroupCandidate> Candidates,
          core::TimePoint Now) const;

private:
  struct Report {
    double Price = 0;
    core::TimePoint At;
  };

  /// @brief Last reported price, between 0 and 1; 0 if it is outdated.
  [[nodiscard]] double priceOf(std::uint64_t Group, core::TimePoint Now) const;

  std::string VmId;
  std::minstd_rand Random;
  /// By hash of the group name.
  std::unordered_map<std::uint64_t, Report> Reports;
};

} // namespace jujubecart::decision

#endif
