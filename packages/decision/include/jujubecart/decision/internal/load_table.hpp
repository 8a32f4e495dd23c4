#ifndef JUJUBECART_DECISION_INTERNAL_LOAD_TABLE_HPP
#define JUJUBECART_DECISION_INTERNAL_LOAD_TABLE_HPP

#include <jujubecart/decision/internal/pace_model.hpp>
#include <jujubecart/decision/internal/server_load.hpp>
#include <jujubecart/decision/internal/slot_demand.hpp>
#include <jujubecart/decision/internal/string_map.hpp>
#include <jujubecart/decision/internal/work_model.hpp>
#include <jujubecart/decision/internal/zone_costs.hpp>
#include <jujubecart/decision/pending_call.hpp>
#include <jujubecart/decision/probe_result.hpp>

#include <optional>
#include <random>
#include <string_view>
#include <vector>

namespace jujubecart::decision::internal {

/// A call that takes this many times its expected service time most likely gets
/// no response.
inline constexpr double OverdueFactor = 2.5;
inline constexpr double PercentPerUnit = 100;

/// @brief What a call can still meet.
enum class Goal : std::uint8_t { Objective, Deadline };

/// @brief Server chosen for a call, and the estimates behind the choice.
struct Placement {
  std::uint32_t Index = 0;
  /// Probability that the call meets its goal there.
  double InTimeProbability = 0;
  /// Expected gain in calls that meet their objective, from this call and from
  /// those that it delays or keeps from a slot. Negative if the slot is worth
  /// more than the call.
  double Score = 0;
  /// Whether a recent report shows that the server is not in a slow period.
  bool KnownFast = false;
  /// Deducted for traffic between zones and for a new connection.
  double TransferCost = 0;
};

/// @brief Backend servers of a group with their calls in flight, pace and
/// health, and the models learned from them. Servers are addressed by index.
class LoadTable {
public:
  LoadTable(const std::vector<core::BackendServer> &Servers,
            const DispatcherOptions &Options, core::TimePoint Now);

  /// @brief Replaces the configuration. Indices stay valid; a removed server
  /// keeps its entry but gets no calls.
  void configure(const std::vector<core::BackendServer> &Servers,
                 core::TimePoint Now);

  /// @brief Recomputes what changes with time alone, as in a cold start.
  void refresh(core::TimePoint Now);

  /// @brief Finds the server with the highest score for a call.
  /// @param Aim What the call should meet; a call that meets only its deadline
  /// has a tenth of the value.
  /// @param Saturate Whether all slots of a server may be used, instead of its
  /// preferred limit.
  /// @return Nothing if no server has a free slot within that limit.
  [[nodiscard]] std::optional<Placement> findBest(const PendingCall &Call,
                                                  Goal Aim, bool Saturate,
                                                  core::TimePoint Now);

  /// @brief Selects servers with an outdated pace report that should be probed
  /// before the call is placed, and marks them as being probed.
  /// @param Found Best server so far; servers that cannot be better are left
  /// out.
  /// @param Out Receives the indices of the servers to probe.
  /// @return Whether the result of a probe, new or pending, should be awaited.
  [[nodiscard]] bool requestProbes(const PendingCall &Call,
                                   const std::optional<Placement> &Found,
                                   core::TimePoint Now,
                                   std::vector<std::uint32_t> &Out);

  /// @brief Records the result of a probe.
  void recordProbe(std::uint32_t Index, const ProbeResult &Result,
                   core::TimePoint Now);

  /// @brief Probability that a call meets its objective if it stays queued.
  /// @param Ahead Number of calls that are served before it.
  [[nodiscard]] double onTimeProbabilityAfterWait(const PendingCall &Call,
                                                  std::size_t Ahead,
                                                  core::TimePoint Now) const;

  /// @brief Expected gain of a call that stays queued, in calls that meet their
  /// objective: on the next free server of any zone or of its own zone,
  /// whichever is better.
  /// @param Ahead Number of calls that are served before it.
  [[nodiscard]] double gainAfterWait(const PendingCall &Call, std::size_t Ahead,
                                     core::TimePoint Now) const;

  /// @brief Whether bytes between zones have a price.
  [[nodiscard]] bool zonesPriced() const noexcept { return Zones.priced(); }

  /// @brief Share of the usable capacity that is in a zone.
  [[nodiscard]] double zoneShare(std::string_view Zone) const;

  /// @brief Records that a call arrived which can meet its objective.
  void recordArrival(const PendingCall &Call, core::TimePoint Now);

  /// @brief Share of successful calls on the server with the fewest failures.
  [[nodiscard]] double bestSuccessRate(core::TimePoint Now) const;

  /// @brief Expected time in which the servers finish a number of calls.
  [[nodiscard]] std::chrono::microseconds
  expectedWait(std::size_t Calls, core::TimePoint Now) const;

  /// @brief The same for calls that get only what arriving calls leave.
  [[nodiscard]] std::chrono::microseconds
  expectedLateWait(std::size_t Calls, core::TimePoint Now) const;

  /// @brief Estimated number of calls that the servers finish per second.
  [[nodiscard]] double capacityPerS(core::TimePoint Now) const;

  /// @brief Number of calls per second that the servers can finish beyond those
  /// that arrive; at least a quarter of their capacity.
  [[nodiscard]] double spareCallsPerS(core::TimePoint Now) const;

  /// @brief Opportunity cost of one mean service time of a slot, in calls that
  /// meet their objective.
  [[nodiscard]] double slotPrice(core::TimePoint Now) const {
    return Demand.price(UsableSlots * Pace.normalShare(), Now);
  }

  /// @brief When a second attempt of a call that starts now on a server is
  /// worth its cost; max at high load, when it would take the slot of another
  /// call.
  [[nodiscard]] core::TimePoint hedgeTime(const PendingCall &Call,
                                          std::uint32_t Index,
                                          core::TimePoint Now) const;

  /// @brief Adds a granted call and sets its PacePercent and Saturated.
  void startCall(std::uint32_t Index, RunningCall Call);

  /// @brief Removes a call whose result will never be known.
  void removeCall(std::uint32_t Index, std::uint64_t GrantId);

  /// @brief Removes a call that ended and learns from its result; ignored if
  /// the grant is unknown.
  void finishCall(std::uint32_t Index, std::uint64_t GrantId,
                  const core::CallReport &Report, std::uint64_t WorkClass,
                  core::TimePoint Now);

  /// @brief Updates health and pace from the result of a call; called directly
  /// for calls that an earlier dispatcher granted.
  void recordResult(std::uint32_t Index, const core::CallReport &Report,
                    core::TimePoint Now);

  /// @brief Applies the rate limits that servers stated to another VM.
  void recordLimits(const std::vector<StatedLimit> &Limits,
                    core::TimePoint Now);

  /// @brief Sets the part of the servers' rate limits that may be used.
  void setLimitShare(double NewShare, core::TimePoint Now);

  /// @brief Records a pace report.
  /// @param Percent Time that work takes, in percent of the normal time.
  void recordPace(std::uint32_t Index, std::uint32_t Percent,
                  core::TimePoint Now);

  /// @brief Index of a server, also of one that was removed from the
  /// configuration; nothing if the id was never configured.
  [[nodiscard]] std::optional<std::uint32_t> find(std::string_view Id) const;
  [[nodiscard]] ServerLoad &at(std::uint32_t Index) { return Servers[Index]; }
  [[nodiscard]] const ServerLoad &at(std::uint32_t Index) const {
    return Servers[Index];
  }
  [[nodiscard]] std::uint32_t size() const noexcept {
    return static_cast<std::uint32_t>(Servers.size());
  }
  /// @brief Service times learned from finished calls.
  [[nodiscard]] const WorkModel &work() const noexcept { return Work; }
  /// @brief Whether any active server is not excluded by the call.
  [[nodiscard]] bool anyServerFor(const PendingCall &Call) const;

private:
  /// @brief Whether the server may get a call now, a trial request included.
  [[nodiscard]] bool usable(const ServerLoad &Server,
                            core::TimePoint Now) const;
  /// @brief Limit of calls in flight; all slots if Saturate is set.
  [[nodiscard]] std::uint32_t callLimit(const ServerLoad &Server,
                                        bool Saturate) const;
  /// @brief Probability that a call started now ends by Until.
  [[nodiscard]] double onTimeProbability(const ServerLoad &Server,
                                         double ExpectedUs,
                                         core::TimePoint Until,
                                         core::TimePoint Now) const;
  /// @brief Expected number of calls in flight on the server that would miss
  /// their objective because one more call saturates it.
  [[nodiscard]] double saturationCost(const ServerLoad &Server,
                                      core::TimePoint Now) const;
  /// @brief Calls that are kept from a slot because the call runs longer than
  /// it would outside of a slow period.
  [[nodiscard]] double wasteCost(const ServerLoad &Server, double ExpectedUs,
                                 core::TimePoint Now) const;
  /// @brief Latest end at the entry VM with which a call meets its goal.
  [[nodiscard]] static core::TimePoint latestEnd(const PendingCall &Call,
                                                 Goal Aim);
  /// @brief Whether a call has run so long that no response is expected.
  [[nodiscard]] bool overdue(const ServerLoad &Server, const RunningCall &Call,
                             core::TimePoint Now) const;
  /// @brief Share of the calls in flight on the server that have run far
  /// longer than expected.
  [[nodiscard]] double overdueShare(const ServerLoad &Server,
                                    core::TimePoint Now) const;
  /// @brief Updates the service time and saturation models from a call whose
  /// pace was known.
  void learnServiceTime(ServerLoad &Server, const RunningCall &Call,
                        std::chrono::microseconds Elapsed,
                        std::uint64_t WorkClass);
  /// @brief Ejects or readmits the server.
  void updateEjection(ServerLoad &Server, bool Failed, core::TimePoint Now);
  /// @brief Mean service time in microseconds, an assumed one at first.
  [[nodiscard]] double meanServiceUs() const;
  /// @brief Share of its calls that a server most likely fails or rejects.
  [[nodiscard]] static double failureRate(const ServerLoad &Server,
                                          const CommonFailures &Common,
                                          core::TimePoint Now);
  /// @brief Shares of rejected calls of all usable servers; computed once for
  /// an instant until a result, a probe or the configuration changes them.
  [[nodiscard]] const CommonFailures &commonFailures(core::TimePoint Now) const;
  /// @brief Deducted from the score of a server: a new connection and the bytes
  /// between zones.
  [[nodiscard]] double transferCost(const PendingCall &Call,
                                    const ServerLoad &Server, Goal Aim,
                                    core::TimePoint Now) const;
  /// @brief Latest end at a server with which a response is at the entry VM at
  /// a given time.
  [[nodiscard]] core::TimePoint endAtServer(const PendingCall &Call,
                                            const ServerLoad &Server,
                                            core::TimePoint End) const;
  /// @brief Probability that a call meets its objective if it starts then.
  [[nodiscard]] double onTimeProbabilityFrom(const PendingCall &Call,
                                             core::TimePoint Start,
                                             core::TimePoint Now) const;
  /// @brief Slots of a server as they count for the capacity of the group.
  [[nodiscard]] double capacitySlots(const ServerLoad &Server,
                                     core::TimePoint Now) const;
  /// @brief Recomputes the totals over all servers.
  void updateTotals(core::TimePoint Now);

  /// @brief What the failure rates of all usable servers give at an instant.
  struct FailureSummary {
    core::TimePoint At;
    CommonFailures Common;
    std::optional<double> BestSuccessRate;
  };

  DispatcherOptions Options;
  std::vector<ServerLoad> Servers;
  /// A dispatch asks for it for each waiting call.
  mutable std::optional<FailureSummary> Summary;
  StringMap<std::uint32_t> ById;
  WorkModel Work;
  PaceModel Pace;
  /// Factor on the remaining time of running calls when a further call takes
  /// their server above its unsaturated limit. It is lower than that on the
  /// further call, which is affected for all of its time.
  SaturationModel RunningSlowdown{1.2};
  SlotDemand Demand;
  ZoneCosts Zones;
  std::mt19937_64 Random;
  /// Number of active servers, and how many of them are ejected or unhealthy.
  std::uint32_t ActiveServers = 0;
  std::uint32_t EjectedServers = 0;
  std::uint32_t UnhealthyServers = 0;
  /// Preferred slots of all servers that are not ejected, each divided by the
  /// service time factor of its server.
  double UsableSlots = 0;
  /// The same by zone.
  StringMap<double> UsableSlotsByZone;
  /// Whether any active server states a rate limit.
  bool AnyLimited = false;
  /// Part of the servers' rate limits that may be used.
  double LimitShare = 1;
};

} // namespace jujubecart::decision::internal

#endif
