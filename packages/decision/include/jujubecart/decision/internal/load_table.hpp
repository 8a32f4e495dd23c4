#ifndef JUJUBECART_DECISION_INTERNAL_LOAD_TABLE_HPP
#define JUJUBECART_DECISION_INTERNAL_LOAD_TABLE_HPP

#include <jujubecart/decision/internal/pace_model.hpp>
#include <jujubecart/decision/internal/server_load.hpp>
#include <jujubecart/decision/internal/string_map.hpp>
#include <jujubecart/decision/internal/work_model.hpp>
#include <jujubecart/decision/pending_call.hpp>
#include <jujubecart/decision/probe_result.hpp>

#include <optional>
#include <random>
#include <string_view>
#include <vector>

namespace jujubecart::decision::internal {

/// @brief The best server for a call now.
struct Placement {
  std::uint32_t Index = 0;
  /// Probability that the call meets its objective there.
  double OnTime = 0;
  /// The same less what it costs other calls and the network.
  double Value = 0;
  /// Whether the pace of the server is known to be the usual one now.
  bool Fast = false;
  /// Whether it is in another zone than the caller's entry VM.
  bool Far = false;
};

/// @brief Backend servers of a group: exact numbers of calls, pace, health.
class LoadTable {
public:
  LoadTable(const std::vector<core::BackendServer> &Servers,
            DispatcherOptions Options);

  /// @brief Replaces the configuration; indices of kept servers stay.
  void configure(const std::vector<core::BackendServer> &Servers);

  /// @brief Finds the server with the highest value for a call.
  /// @param Until Instant that the end of the call is compared with.
  /// @param Saturate Whether servers may be loaded up to all of their slots.
  [[nodiscard]] std::optional<Placement> best(const PendingCall &Call,
                                              core::TimePoint Until,
                                              bool Saturate,
                                              core::TimePoint Now);

  /// @brief Asks for the pace of the servers that could take a call.
  /// @param NearOnly Leaves out servers in other zones.
  /// @param Out Receives the servers to probe.
  /// @return Whether results are awaited that could improve the choice.
  [[nodiscard]] bool requestProbes(const PendingCall &Call, bool NearOnly,
                                   core::TimePoint Now,
                                   std::vector<std::uint32_t> &Out);

  /// @brief Ends a probe.
  void probed(std::uint32_t Index, const ProbeResult &Result,
              core::TimePoint Now);

  /// @brief Probability that a call meets its objective if it waits.
  /// @param Ahead Calls that are served before it.
  [[nodiscard]] double onTimeAfterWait(const PendingCall &Call,
                                       std::size_t Ahead,
                                       core::TimePoint Now) const;

  /// @brief Expected time until a number of calls have been served.
  [[nodiscard]] std::chrono::microseconds expectedWait(std::size_t Calls) const;

  /// @brief Calls that the servers finish in a second.
  [[nodiscard]] double capacityPerS() const;

  void start(std::uint32_t Index, RunningCall Call);
  void forget(std::uint32_t Index, std::uint64_t GrantId);

  /// @brief Ends a grant with a result.
  void finish(std::uint32_t Index, std::uint64_t GrantId,
              const core::CallReport &Report, std::uint64_t WorkClass,
              core::TimePoint Now);

  /// @brief Records a result that belongs to no grant of this dispatcher.
  void result(std::uint32_t Index, const core::CallReport &Report,
              core::TimePoint Now);

  /// @brief Records what a server said of its pace.
  void pace(std::uint32_t Index, std::uint32_t Percent, core::TimePoint Now);

  [[nodiscard]] std::optional<std::uint32_t> find(std::string_view Id) const;
  [[nodiscard]] ServerLoad &at(std::uint32_t Index) { return Servers[Index]; }
  [[nodiscard]] const ServerLoad &at(std::uint32_t Index) const {
    return Servers[Index];
  }
  [[nodiscard]] std::uint32_t size() const noexcept {
    return static_cast<std::uint32_t>(Servers.size());
  }
  [[nodiscard]] const WorkModel &work() const noexcept { return Work; }
  /// @brief Whether any server that is not excluded may get the call.
  [[nodiscard]] bool anyServerFor(const PendingCall &Call) const;

private:
  [[nodiscard]] bool usable(const ServerLoad &Server,
                            core::TimePoint Now) const;
  [[nodiscard]] std::uint32_t limit(const ServerLoad &Server,
                                    bool Saturate) const;
  [[nodiscard]] double onTime(const ServerLoad &Server, double WorkUs,
                              core::TimePoint Until, core::TimePoint Now) const;
  [[nodiscard]] double harm(const ServerLoad &Server,
                            core::TimePoint Now) const;
  [[nodiscard]] double overdue(const ServerLoad &Server,
                               core::TimePoint Now) const;
  /// @brief Learns the time of work from a call whose pace was known.
  void learn(ServerLoad &Server, const RunningCall &Call,
             std::chrono::microseconds Elapsed, std::uint64_t WorkClass);
  void judge(ServerLoad &Server, bool Failed, core::TimePoint Now);
  void recount();

  DispatcherOptions Options;
  std::vector<ServerLoad> Servers;
  StringMap<std::uint32_t> ById;
  WorkModel Work;
  PaceModel Pace;
  std::mt19937_64 Random;
  std::uint32_t Active = 0;
  std::uint32_t Ejected = 0;
  std::uint32_t Unhealthy = 0;
  /// Slots of the servers in use, in slots of a server of usual speed.
  double UsableSlots = 0;
};

} // namespace jujubecart::decision::internal

#endif
