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

/// @brief Backend servers of a group, indexed by load, and the choice.
class ServerTable {
public:
  ServerTable(const std::vector<core::BackendServer> &Servers,
              DispatcherOptions Options);

  /// @brief Replaces the configuration; indices of kept servers stay.
  void configure(const std::vector<core::BackendServer> &Servers,
                 core::TimePoint Now);

  /// @brief Chooses a server for a call.
  /// @return Its index, or nothing if the call should wait.
  [[nodiscard]] std::optional<std::uint32_t> pick(const QueuedCall &Item,
                                                  core::TimePoint Now);

  /// @brief Whether pick could choose any server at all.
  [[nodiscard]] bool hasRoom(core::TimePoint Now) const noexcept {
    return Eligible > 0 || Now >= NextTrial;
  }

  /// @brief Counts a grant.
  void start(std::uint32_t Index, std::uint64_t GrantId, core::TimePoint Now);

  /// @brief Ends a grant without a result.
  void forget(std::uint32_t Index, std::uint64_t GrantId, core::TimePoint Now);

  /// @brief Ends a grant with a result.
  /// @param Unqueued Whether a slot was free when the grant was made, so that
  /// the elapsed time is a sample of the service time.
  /// @param Trial Whether it was a trial request of an ejected server.
  void finish(std::uint32_t Index, std::uint64_t GrantId,
              const core::CallReport &Report, bool Unqueued, bool Trial,
              core::TimePoint Now);

  /// @brief Records a result that belongs to no grant of this dispatcher.
  void result(std::uint32_t Index, const core::CallReport &Report, bool Trial,
              core::TimePoint Now);

  /// @brief Changes the number of adopted calls of a server.
  void setAdopted(std::uint32_t Index, std::uint32_t Count,
                  core::TimePoint Now);

  /// @brief Records the result of a probe.
  void probe(std::uint32_t Index, const ProbeResult &Result,
             core::TimePoint Now);

  /// @brief Applies what changes by time alone.
  void refresh(core::TimePoint Now);

  [[nodiscard]] std::optional<std::uint32_t> find(std::string_view Id) const;
  [[nodiscard]] const ServerRecord &at(std::uint32_t Index) const {
    return Servers[Index];
  }
  [[nodiscard]] ServerRecord &at(std::uint32_t Index) { return Servers[Index]; }
  [[nodiscard]] std::uint32_t size() const noexcept {
    return static_cast<std::uint32_t>(Servers.size());
  }
  /// @brief Most outstanding grants of a server now.
  [[nodiscard]] std::uint32_t limit(const ServerRecord &Server,
                                    core::TimePoint Now) const;
  /// @brief Servers that neither drain nor have left.
  [[nodiscard]] std::uint32_t activeServers() const noexcept { return Active; }
  [[nodiscard]] std::uint32_t activeSlots() const noexcept { return Slots; }
  [[nodiscard]] double meanServiceUs() const noexcept { return MeanUs; }
  [[nodiscard]] bool isSlow(const ServerRecord &Server,
                            core::TimePoint Now) const;
  [[nodiscard]] std::uint64_t compared() const noexcept { return Compared; }

private:
  // Four buckets of rising load with a free slot, then one for each grant
  // above the slots; the last one takes all higher margins.
  static constexpr int FreeBuckets = 4;
  static constexpr int Buckets = 8;
  static constexpr std::uint32_t None = ~0U;

  struct Choice {
    std::optional<std::uint32_t> Index;
    double Cost = 0;
    std::uint32_t Seen = 0;
  };

  void update(std::uint32_t Index, core::TimePoint Now);
  void recount(core::TimePoint Now);
  void insert(std::uint32_t Index, int Bucket);
  void erase(std::uint32_t Index);
  void judge(ServerRecord &Server, bool Failed, bool Trial,
             core::TimePoint Now);
  void updateNextTrial();
  [[nodiscard]] bool usable(const ServerRecord &Server) const;
  [[nodiscard]] int bucketOf(const ServerRecord &Server,
                             core::TimePoint Now) const;
  [[nodiscard]] std::uint32_t zone(std::string_view Name);
  [[nodiscard]] std::uint32_t knownZone(std::string_view Name) const;
  [[nodiscard]] std::optional<std::uint32_t> dueTrial(const PendingCall &Call,
                                                      core::TimePoint Now);
  template <typename CostOf>
  [[nodiscard]] Choice best(int First, int End, const PendingCall &Call,
                            bool AllowSlow, core::TimePoint Now,
                            const CostOf &Cost);
  [[nodiscard]] double freeCost(const ServerRecord &Server,
                                std::uint32_t CallZone) const;
  [[nodiscard]] double expectedStart(const ServerRecord &Server,
                                     core::TimePoint Now) const;

  DispatcherOptions Options;
  std::vector<ServerRecord> Servers;
  StringMap<std::uint32_t> ById;
  StringMap<std::uint32_t> Zones;
  std::array<std::uint32_t, Buckets> Heads;
  std::mt19937_64 Random;
  double MeanUs;
  std::uint32_t Active = 0;
  std::uint32_t Slots = 0;
  std::uint32_t Unhealthy = 0;
  std::uint32_t EjectedCount = 0;
  std::uint32_t Eligible = 0;
  bool Panic = false;
  core::TimePoint NextTrial = core::TimePoint::max();
  std::uint64_t Compared = 0;
};

} // namespace jujubecart::decision::internal

#endif
