#ifndef JUJUBECART_DECISION_INTERNAL_FAIR_SHARES_HPP
#define JUJUBECART_DECISION_INTERNAL_FAIR_SHARES_HPP

#include <jujubecart/core/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace jujubecart::decision::internal {

/// @brief What each workspace asked of the slots of one dispatch group and got
/// of them, forgotten exponentially. Not thread-safe.
class FairShares {
public:
  /// @brief Whether any call belonged to a workspace. If none did, calls are
  /// not ordered by workspace.
  [[nodiscard]] bool active() const noexcept { return Active; }

  /// @brief Records an arriving call.
  void recordArrival(std::uint64_t Workspace, core::TimePoint Now);

  /// @brief Records a granted call with its expected service time.
  void recordGrant(std::uint64_t Workspace, double ServiceUs,
                   core::TimePoint Now);

  /// @brief Service time granted to a workspace in about the last second, in
  /// microseconds.
  [[nodiscard]] double serviceUs(std::uint64_t Workspace,
                                 core::TimePoint Now) const;

  /// @brief Whether the workspace's calls are granted so much more rarely than
  /// those of all that its priority must not hold.
  [[nodiscard]] bool starved(std::uint64_t Workspace,
                             core::TimePoint Now) const;

  /// @brief Workspaces that are remembered.
  [[nodiscard]] std::size_t size() const noexcept { return Workspaces.size(); }

private:
  struct Decayed {
    double Sum = 0;
    core::TimePoint At;

    void add(double Value, double MemoryS, core::TimePoint Now);
    [[nodiscard]] double at(double MemoryS, core::TimePoint Now) const;
  };
  struct Record {
    Decayed ServiceUs;
    Decayed Arrivals;
    Decayed Grants;
  };

  void forgetIdle(core::TimePoint Now);

  bool Active = false;
  std::unordered_map<std::uint64_t, Record> Workspaces;
  Record All;
  core::TimePoint ForgottenAt = core::TimePoint::min();
};

} // namespace jujubecart::decision::internal

#endif
