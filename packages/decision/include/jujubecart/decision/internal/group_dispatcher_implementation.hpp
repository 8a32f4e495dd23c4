#ifndef JUJUBECART_DECISION_INTERNAL_GROUP_DISPATCHER_IMPLEMENTATION_HPP
#define JUJUBECART_DECISION_INTERNAL_GROUP_DISPATCHER_IMPLEMENTATION_HPP

#include <jujubecart/decision/dispatch_group.hpp>
#include <jujubecart/decision/group_dispatcher.hpp>
#include <jujubecart/decision/internal/adopted_calls.hpp>
#include <jujubecart/decision/internal/call_queue.hpp>
#include <jujubecart/decision/internal/grant_table.hpp>
#include <jujubecart/decision/internal/probe_schedule.hpp>
#include <jujubecart/decision/internal/server_table.hpp>
#include <jujubecart/decision/internal/wait_estimate.hpp>

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace jujubecart::decision {

class GroupDispatcher::Implementation {
public:
  /// @brief What is kept with a grant.
  struct GrantDetails {
    /// Whether the server had a free slot when the grant was made.
    bool SlotWasFree = false;
    /// Whether the call is a trial request to an ejected server.
    bool Trial = false;
  };

  Implementation(DispatchGroup Group, const DispatcherOptions &Options,
                 core::TimePoint Now)
      : Group(std::move(Group)), Options(Options),
        Table(this->Group.Servers, Options, Now), Probes(Options, Now),
        Random(Options.Seed), Grants(Random() >> 1), LatestTime(Now) {}

  /// @brief Records the current time; called first by every operation.
  void advanceTime(core::TimePoint Now);
  void enqueue(PendingCall Call, core::TimePoint Now, Decisions &Out);
  /// @brief Grants a call if a server may get it now.
  /// @return Whether it was granted.
  bool tryGrant(const internal::QueuedCall &Item, core::TimePoint Now,
                Decisions &Out);
  /// @brief Rejects expired calls, then grants as many waiting calls as the
  /// servers can take; rejects all of them if no server is active.
  void dispatch(core::TimePoint Now, Decisions &Out);
  void release(std::uint64_t GrantId, const core::CallReport &Report,
               core::TimePoint Now);
  void adopt(std::string Holder, std::string ServerId, std::uint32_t InFlight,
             core::TimePoint Now);
  void dropHolder(std::string_view Holder, core::TimePoint Now);
  void expireGrants(core::TimePoint Now);
  /// @param Wait Expected wait, from which the retry delay is derived.
  void reject(CallToken Token, core::Error Reason, core::TimePoint Now,
              Decisions &Out, std::chrono::microseconds Wait = {});
  [[nodiscard]] std::chrono::microseconds
  expectedWait(const PendingCall &Call, core::TimePoint Now) const;
  /// @brief Whether any active server is not excluded by the call.
  [[nodiscard]] bool anyServerFor(const PendingCall &Call) const;
  [[nodiscard]] std::chrono::microseconds meanServiceTime() const {
    return std::chrono::microseconds(
        static_cast<std::int64_t>(Table.meanServiceUs()));
  }
  /// @brief The server that was heard from least recently, or nullptr if all
  /// were heard from recently.
  [[nodiscard]] internal::ServerRecord *probeTarget(core::TimePoint Now);
  [[nodiscard]] ServerStatus statusOf(const internal::ServerRecord &Server,
                                      core::TimePoint Now) const;

  DispatchGroup Group;
  DispatcherOptions Options;
  internal::ServerTable Table;
  internal::CallQueue Queue;
  internal::WaitEstimate Wait;
  internal::ProbeSchedule Probes;
  std::mt19937_64 Random;
  internal::GrantTable<GrantDetails> Grants;
  internal::AdoptedCalls Adopted;
  /// Scratch space of dispatch, kept to avoid allocations.
  std::vector<const internal::QueuedCall *> Candidates;
  /// Latest time passed to any operation.
  core::TimePoint LatestTime;
  core::TimePoint LastRefresh;
  core::TimePoint LastExpiryScan;
};

} // namespace jujubecart::decision

#endif
