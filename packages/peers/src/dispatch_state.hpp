#ifndef JUJUBECART_PEERS_SRC_DISPATCH_STATE_HPP
#define JUJUBECART_PEERS_SRC_DISPATCH_STATE_HPP

#include <jujubecart/decision/dispatcher.hpp>
#include <jujubecart/peers/dispatch_service.hpp>

namespace jujubecart::peers {

/// @brief A VM that asks over a link.
struct DispatchService::Client {
  LinkPtr Io;
  /// Unique per link, so that a broken link frees only its own grants.
  std::string Holder;
  std::string Zone;
  std::atomic<int> Waiting{0};

  // Taken after a group's mutex.
  std::mutex Mutex;
  std::unordered_map<CallId, std::pair<GroupState, decision::CallToken>> Calls;
  std::set<GroupState> Groups;
  bool Gone = false;
};

/// @brief A call that waits or holds a grant.
struct DispatchService::Call {
  decision::CallToken Token = 0;
  core::RequestId Request;
  core::TimePoint Deadline;
  core::TimePoint Objective = core::TimePoint::max();
  std::uint64_t WorkClass = 0;
  std::uint8_t Priority = 5;
  std::optional<core::OrderKey> Key;
  /// Nullptr for a call of this VM.
  ClientPtr Asker;
  CallId Remote = 0;
  core::Revision Revision = 0;
  Reply Then;

  bool Claimed = false;
  bool Answered = false;
  /// Decision that is held back until the order key is claimed.
  std::optional<decision::Granted> Held;
  std::uint64_t GrantId = 0;
};

/// @brief Dispatcher of one group.
struct DispatchService::Group {
  Group(const GroupPtr &Entry, core::TimePoint Now)
      : Name(Entry->Group.Name), Service(Entry->Group.Service), Entry(Entry),
        Dispatcher(decision::makeDispatcher(Entry->Group, Entry->Options, Now)),
        ProbesOnDemand(Entry->Options.Profile ==
                       core::PolicyProfile::Objective),
        LastUsed(Now) {}

  const std::string Name;
  const std::string Service;
  std::mutex Mutex;
  GroupPtr Entry;
  std::unique_ptr<decision::Dispatcher> Dispatcher;
  std::unordered_map<decision::CallToken, Call> Calls;
  /// Whether probes are sent when a choice asks for them, not by schedule.
  const bool ProbesOnDemand;
  /// Whether this VM ranks first for the group.
  bool Ranked = false;
  /// When a call or a report of calls in flight last arrived.
  core::TimePoint LastUsed;
};

} // namespace jujubecart::peers

#endif
