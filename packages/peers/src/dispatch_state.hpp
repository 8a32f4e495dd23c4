#ifndef JUJUBECART_PEERS_SRC_DISPATCH_STATE_HPP
#define JUJUBECART_PEERS_SRC_DISPATCH_STATE_HPP

#include <jujubecart/decision/dispatcher.hpp>
#include <jujubecart/peers/dispatch_service.hpp>

namespace jujubecart::peers {

namespace internal {

/// @brief Report of a call that ended without a result.
[[nodiscard]] core::CallReport cancelledReport();

} // namespace internal

/// @brief Another VM that calls the dispatchers of this VM over a link.
struct DispatchService::Client {
  LinkPtr PeerLink;
  /// Identifies the owner of grants to the dispatcher; unique per link, so that
  /// a broken link frees only its own grants.
  std::string Holder;
  std::string Zone;
  std::atomic<int> WaitingCalls{0};

  // Lock order: the mutex of a group before this one.
  std::mutex Mutex;
  std::unordered_map<CallId, std::pair<GroupState, decision::CallToken>> Calls;
  /// Groups that have calls or adopted calls of this VM.
  std::set<GroupState> Groups;
  bool Disconnected = false;
};

/// @brief A call that waits for a grant or holds one.
struct DispatchService::Call {
  decision::CallToken Token = 0;
  core::RequestId Request;
  core::TimePoint Deadline;
  core::TimePoint Objective = core::TimePoint::max();
  std::uint64_t WorkClass = 0;
  std::uint64_t Workspace = 0;
  std::uint8_t Priority = 5;
  std::optional<core::OrderKey> Key;
  /// The VM that asked; nullptr for a call of this VM.
  ClientPtr Requester;
  /// Number of the call on the link of the requester.
  CallId RemoteCall = 0;
  /// Configuration revision of the requester.
  core::Revision Revision = 0;
  /// Empty for a call of another VM.
  CompletionHandler OnComplete;

  /// Whether the call used a token of its workspace's quota.
  bool UsesQuota = false;
  /// When it was counted against the quota of its workspace.
  core::TimePoint CountedAt;
  /// Whether the order key is claimed; also true without a key.
  bool Claimed = false;
  /// Whether the grant was delivered.
  bool Answered = false;
  /// Grant that is not delivered until the order key is claimed.
  std::optional<decision::Granted> DeferredGrant;
  std::uint64_t GrantId = 0;
};

/// @brief Dispatcher of one group with the calls that it knows.
struct DispatchService::Group {
  Group(const GroupPtr &Entry, core::TimePoint Now)
      : Name(Entry->Group.Name), Service(Entry->Group.Service), Entry(Entry),
        Dispatcher(decision::makeDispatcher(Entry->Group, Entry->Options, Now)),
        ProbesOnDemand(Entry->Options.Profile ==
                       core::PolicyProfile::Objective),
        LastUsed(Now) {
    Dispatcher->setRegular(false, Now);
  }

  const std::string Name;
  const std::string Service;
  std::mutex Mutex;
  GroupPtr Entry;
  std::unique_ptr<decision::Dispatcher> Dispatcher;
  std::unordered_map<decision::CallToken, Call> Calls;
  /// Whether probes are sent when a decision requests them, not periodically.
  const bool ProbesOnDemand;
  /// Whether this VM ranks first for the group.
  bool RanksFirst = false;
  /// When a call or a report of calls in flight last arrived.
  core::TimePoint LastUsed;
};

} // namespace jujubecart::peers

#endif
