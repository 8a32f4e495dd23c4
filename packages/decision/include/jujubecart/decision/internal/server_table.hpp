#ifndef JUJUBECART_DECISION_INTERNAL_SERVER_TABLE_HPP
#define JUJUBECART_DECISION_INTERNAL_SERVER_TABLE_HPP

#include <jujubecart/decision/internal/call_queue.hpp>
#include <jujubecart/decision/internal/server_record.hpp>
#include <jujubecart/decision/internal/string_map.hpp>

#include <array>
#include <optional>
#include <random>
#include <string_view>

namespace jujubecart::decision::internal {

/// @brief Backend servers of a group, indexed by load; chooses the server for a
/// call.
class ServerTable {
public:
  ServerTable(const std::vector<core::BackendServer> &Servers,
              const DispatcherOptions &Options, core::TimePoint Now);

  /// @brief Replaces the configuration. Indices of known servers stay the same;
  /// servers that are no longer listed stay in the table as not configured.
  void configure(const std::vector<core::BackendServer> &Servers,
                 core::TimePoint Now);

  /// @brief Chooses a server for a call.
  /// @return Index of the server, or nothing if the call should wait.
  [[nodiscard]] std::optional<std::uint32_t> pick(const QueuedCall &Item,
                                                  core::TimePoint Now);

  /// @brief Quick check whether pick may find a server; false means that it
  /// finds none for any call.
  [[nodiscard]] bool hasRoom(core::TimePoint Now) const noexcept {
    return EligibleCount > 0 || Now >= NextTrial;
  }

  /// @brief Adds an outstanding grant on a server.
  void addGrant(std::uint32_t Index, std::uint64_t GrantId,
                core::TimePoint Now);

  /// @brief Removes a grant whose result is unknown.
  void dropGrant(std::uint32_t Index, std::uint64_t GrantId,
                 core::TimePoint Now);

  /// @brief Removes a grant and records the result of its call.
  /// @param SlotWasFree Whether the server had a free slot when the grant was
  /// made, so that the elapsed time contains no queueing and is a sample of the
  /// service time.
  /// @param Trial Whether the call was a trial request to an ejected server.
  void finishGrant(std::uint32_t Index, std::uint64_t GrantId,
                   const core::CallReport &Report, bool SlotWasFree, bool Trial,
                   core::TimePoint Now);

  /// @brief Records the health information in a result; called directly for
  /// calls that were not granted by this dispatcher.
  void recordResult(std::uint32_t Index, const core::CallReport &Report,
                    bool Trial, core::TimePoint Now);

  /// @brief Applies the rate limits that servers stated to another VM.
  void recordLimits(const std::vector<StatedLimit> &Limits,
                    core::TimePoint Now);

  /// @brief Sets the part of the servers' rate limits that may be used.
  void setLimitShare(double NewShare, core::TimePoint Now);

  /// @brief Sets the number of adopted calls of a server.
  void setAdopted(std::uint32_t Index, std::uint32_t Count,
                  core::TimePoint Now);

  /// @brief Records the result of a health probe.
  void recordProbe(std::uint32_t Index, const ProbeResult &Result,
                   core::TimePoint Now);

  /// @brief Recomputes limits that change with time, as in slow start.
  void refresh(core::TimePoint Now);

  /// @brief Index of a server, also of one that is no longer configured.
  [[nodiscard]] std::optional<std::uint32_t> find(std::string_view Id) const;
  [[nodiscard]] const ServerRecord &at(std::uint32_t Index) const {
    return Servers[Index];
  }
  [[nodiscard]] ServerRecord &at(std::uint32_t Index) { return Servers[Index]; }
  /// @brief Number of servers, those no longer configured included.
  [[nodiscard]] std::uint32_t size() const noexcept {
    return static_cast<std::uint32_t>(Servers.size());
  }
  /// @brief Maximum number of calls in flight that a server may have now.
  [[nodiscard]] std::uint32_t limit(const ServerRecord &Server,
                                    core::TimePoint Now) const;
  /// @brief Number of servers that are configured and not draining.
  [[nodiscard]] std::uint32_t activeServers() const noexcept {
    return ActiveCount;
  }
  /// @brief Sum of the slots of the active servers; one with a rate limit
  /// counts for as many as it can keep busy.
  [[nodiscard]] double activeSlots() const noexcept { return ActiveSlots; }
  /// @brief Moving average of the group's service time in microseconds.
  [[nodiscard]] double meanServiceUs() const noexcept { return MeanServiceUs; }
  /// @brief Whether a server should get no call now because it responds far too
  /// slowly, or because it is unhealthy but may not be ejected.
  [[nodiscard]] bool isSuspect(const ServerRecord &Server,
                               core::TimePoint Now) const;
  /// @brief Whether a grant made now is a trial request. In panic mode it is
  /// not, because then every failure would lengthen the backoff.
  [[nodiscard]] bool isTrialGrant(const ServerRecord &Server) const noexcept {
    return Server.Health.ejected() && !PanicMode;
  }
  /// @brief Total number of servers compared by pick so far.
  [[nodiscard]] std::uint64_t comparedServers() const noexcept {
    return Compared;
  }

private:
  // Servers with a free slot are in the first four buckets, by rising load.
  // Then there is one bucket for each grant beyond the slots; the last one
  // also takes all higher counts.
  static constexpr int FreeBucketCount = 4;
  static constexpr int BucketCount = 8;
  // Stands for no server or no zone.
  static constexpr std::uint32_t NoIndex = ~0U;

  /// @brief Result of findBest.
  struct Choice {
    /// Empty if no server was found.
    std::optional<std::uint32_t> Index;
    double Cost = 0;
    /// Number of servers examined.
    std::uint32_t Seen = 0;
  };

  /// @brief Moves a server to the bucket for its current load.
  void update(std::uint32_t Index, core::TimePoint Now);
  /// @brief Recomputes the counts, panic mode, NextTrial and all buckets.
  void updateCounts(core::TimePoint Now);
  void insert(std::uint32_t Index, int Bucket);
  void erase(std::uint32_t Index);
  /// @brief Ejects or readmits a server, or extends its ejection, after a
  /// result.
  void updateEjection(ServerRecord &Server, bool Failed, bool Trial,
                      core::TimePoint Now);
  void updateNextTrial();
  /// @brief Slots of a server as they count in activeSlots().
  [[nodiscard]] double capacitySlots(const ServerRecord &Server,
                                     core::TimePoint Now) const;
  /// @brief Whether the server may get calls that are not trial requests.
  [[nodiscard]] bool usable(const ServerRecord &Server) const;
  [[nodiscard]] int bucketOf(const ServerRecord &Server,
                             core::TimePoint Now) const;
  /// @brief Number of a zone, assigned on first use.
  [[nodiscard]] std::uint32_t internZone(std::string_view Name);
  /// @brief Number of a zone, or NoIndex if no server is in it.
  [[nodiscard]] std::uint32_t findZone(std::string_view Name) const;
  /// @brief An ejected server whose trial request is due.
  [[nodiscard]] std::optional<std::uint32_t> dueTrial(const PendingCall &Call,
                                                      core::TimePoint Now);
  /// @brief Finds the server with the lowest cost in the buckets from First to
  /// before End.
  template <typename CostFunction>
  [[nodiscard]] Choice findBest(int First, int End, const PendingCall &Call,
                                bool AllowSuspect, core::TimePoint Now,
                                const CostFunction &Cost);
  /// @brief Cost of a server with a free slot; dimensionless.
  [[nodiscard]] double freeSlotCost(const ServerRecord &Server,
                                    std::uint32_t CallZone) const;
  /// @brief Expected wait at the server in microseconds.
  [[nodiscard]] double expectedStartUs(const ServerRecord &Server,
                                       core::TimePoint Now) const;

  DispatcherOptions Options;
  std::vector<ServerRecord> Servers;
  StringMap<std::uint32_t> ById;
  StringMap<std::uint32_t> Zones;
  /// Index of the first server of each bucket, or NoIndex.
  std::array<std::uint32_t, BucketCount> BucketHeads;
  std::mt19937_64 Random;
  /// Moving average of the service time in microseconds.
  double MeanServiceUs;
  std::uint32_t ActiveCount = 0;
  double ActiveSlots = 0;
  std::uint32_t UnhealthyCount = 0;
  std::uint32_t EjectedCount = 0;
  /// Servers in a bucket.
  std::uint32_t EligibleCount = 0;
  /// Set while all active servers are unhealthy; ejections are then ignored.
  bool PanicMode = false;
  /// Earliest time at which dueTrial can find a server.
  core::TimePoint NextTrial = core::TimePoint::max();
  std::uint64_t Compared = 0;
  /// Part of the servers' rate limits that may be used.
  double LimitShare = 1;
};

} // namespace jujubecart::decision::internal

#endif
