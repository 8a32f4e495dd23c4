#ifndef JUJUBECART_DECISION_INTERNAL_OBJECTIVE_DISPATCHER_IMPLEMENTATION_HPP
#define JUJUBECART_DECISION_INTERNAL_OBJECTIVE_DISPATCHER_IMPLEMENTATION_HPP

#include <jujubecart/decision/dispatch_group.hpp>
#include <jujubecart/decision/internal/adopted_calls.hpp>
#include <jujubecart/decision/internal/fair_shares.hpp>
#include <jujubecart/decision/internal/grant_table.hpp>
#include <jujubecart/decision/internal/load_table.hpp>
#include <jujubecart/decision/internal/objective_queue.hpp>
#include <jujubecart/decision/internal/return_schedule.hpp>
#include <jujubecart/decision/objective_dispatcher.hpp>

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace jujubecart::decision {

class ObjectiveDispatcher::Implementation {
public:
  Implementation(DispatchGroup Group, const DispatcherOptions &Options,
                 core::TimePoint Now)
      : Group(std::move(Group)), Options(Options),
        Table(this->Group.Servers, Options, Now), Random(Options.Seed),
        LastTick(Now), Grants(Random() >> 1) {}

  void enqueue(PendingCall Call, core::TimePoint Now, Decisions &Out);
  void dispatch(core::TimePoint Now, Decisions &Out);
  void release(std::uint64_t GrantId, const core::CallReport &Report,
               core::TimePoint Now);
  void adopt(const std::string &Holder, const std::string &ServerId,
             std::uint32_t InFlight);
  void dropHolder(std::string_view Holder);
  void expireGrants(core::TimePoint Now);
  [[nodiscard]] ServerStatus statusOf(const internal::ServerLoad &Server,
                                      core::TimePoint Now) const;

  DispatchGroup Group;
  DispatcherOptions Options;
  internal::LoadTable Table;
  /// Calls that can still meet their objective.
  internal::ObjectiveQueue OnTimeQueue;
  /// Calls that most likely miss their objective but can meet their deadline.
  internal::ObjectiveQueue LateQueue;
  /// What the workspaces got of the slots.
  internal::FairShares Shares;
  internal::AdoptedCalls Adopted;
  std::mt19937_64 Random;
  core::TimePoint LastTick;
  internal::ReturnSchedule Returns;
  /// Indices of servers to probe; taken from the back.
  std::vector<std::uint32_t> PendingProbes;

private:
  /// A call whose probability to meet its objective is lower moves to the late
  /// queue, which is served after the calls that can still meet theirs.
  static constexpr double MinOnTimeProbability = 0.5;

  /// @brief What is kept with a grant.
  struct GrantDetails {
    std::uint64_t WorkClass = 0;
  };

  /// @brief Which servers a pass over the queue uses.
  struct Pass {
    /// Whether servers may be used above their preferred limit.
    bool Saturate = false;
    /// Whether a call gets only servers of its own zone.
    bool OwnZone = false;
    /// Service time in microseconds that the workspace of a waiting call got
    /// at most; 0 without workspaces.
    double LargestShareUs = 0;
  };

  /// @brief Tries to grant a call of the on-time queue.
  /// @return Whether a call was granted.
  [[nodiscard]] bool placeAnyOnTime(Pass Allowed, core::TimePoint Now,
                                    Decisions &Out);
  /// @brief Tries to grant one call of the on-time queue; requests probes first
  /// if their results could improve the choice of the server.
  /// @param Position Position of the call in the queue.
  /// @return Whether it was granted; if not, it keeps waiting.
  [[nodiscard]] bool placeOnTime(CallToken Token, std::size_t Position,
                                 Pass Allowed, core::TimePoint Now,
                                 Decisions &Out);
  /// @brief Tries to grant the first placeable call of the late queue.
  /// @return Whether a call was granted.
  [[nodiscard]] bool placeLate(core::TimePoint Now, Decisions &Out);
  /// @brief Grants a call that was removed from its queue.
  void grant(const PendingCall &Call, const internal::Placement &Chosen,
             core::TimePoint Now, Decisions &Out);
  /// @brief State of the queues and price of a slot.
  [[nodiscard]] DecisionFacts queueFacts(core::TimePoint Now) const;
  /// @brief State of a server and of the queues, for the log.
  [[nodiscard]] DecisionFacts factsOf(const internal::ServerLoad &Server,
                                      core::TimePoint Now) const;
  /// @brief Moves calls that most likely miss their objective to the late
  /// queue, and rejects late calls that cannot meet their deadline.
  void demoteLateCalls(core::TimePoint Now, Decisions &Out);
  /// @brief Adds a call to the late queue, or rejects it at once if it would
  /// not start in time for its deadline or the queues are full.
  void enqueueLate(PendingCall Call, core::TimePoint ArrivalTime,
                   core::TimePoint Now, Decisions &Out);
  void reject(const PendingCall &Call, core::Error Reason, core::TimePoint Now,
              Decisions &Out);
  /// @brief Expected wait of a call that joins the late queue now.
  [[nodiscard]] std::chrono::microseconds
  expectedLateWait(core::TimePoint Now) const;
  /// @brief Latest start with which a call most likely meets its deadline.
  [[nodiscard]] core::TimePoint latestStart(const PendingCall &Call,
                                            core::TimePoint Now) const;

  internal::GrantTable<GrantDetails> Grants;
};

} // namespace jujubecart::decision

#endif
