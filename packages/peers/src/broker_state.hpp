#ifndef JUJUBECART_PEERS_SRC_BROKER_STATE_HPP
#define JUJUBECART_PEERS_SRC_BROKER_STATE_HPP

#include "one_shot.hpp"
#include <jujubecart/peers/remote_broker.hpp>

namespace jujubecart::peers {

/// @brief Result of acquiring a slot from one dispatcher.
struct RemoteBroker::AcquireResult {
  enum class Kind : std::uint8_t {
    Granted,
    /// Ended without a slot for the given Reason.
    Refused,
    /// The link could not be opened or was closed.
    Unreachable,
    /// No frame arrived from the dispatcher within DispatcherTimeout.
    Unresponsive,
  };
  Kind Outcome = Kind::Unreachable;
  core::Error Reason = core::Error::Unavailable;
  core::SlotGrant Grant;
  /// Delay after which a refused call should be retried; 0 if unknown.
  std::chrono::milliseconds RetryAfter{0};
};

/// @brief A call that waits for the decision of a dispatcher.
struct RemoteBroker::PendingCall {
  ResultPromise Promise;
  GroupPtr Entry;
  core::RequestId Request;
  core::TimePoint SentAt;
  core::TimePoint Deadline;
  /// Nullptr if this VM is the dispatcher.
  LinkPtr DispatcherLink;
  /// Token of the call at this VM's dispatcher; 0 for another dispatcher.
  decision::CallToken Token = 0;
};

/// @brief A grant in use and the dispatcher to which it must be returned.
struct RemoteBroker::HeldGrant {
  GroupPtr Entry;
  std::string Server;
  /// Link to the dispatcher that granted it; nullptr if that was this VM or
  /// the link has closed.
  LinkPtr DispatcherLink;
  CallId Call = 0;
  /// Token of the call at this VM's dispatcher; 0 if another one granted it.
  decision::CallToken Token = 0;
  /// Set if the fallback broker granted it.
  std::optional<core::SlotGrant> Local;
  /// Whether its request counted against the quota of a workspace.
  bool Counted = false;
  /// Set if this VM counted the request without a dispatcher.
  std::optional<QuotaUse> AloneUse;
  /// Link to a later dispatcher to which the call was reported in flight.
  LinkPtr AdoptedBy;
  /// Whether the call was reported to this VM's dispatcher.
  bool AdoptedHere = false;

  /// @brief Whether the call was reported to a dispatcher.
  /// @param Dispatcher Link to it; nullptr for the one of this VM.
  [[nodiscard]] bool isAdoptedBy(const LinkPtr &Dispatcher) const noexcept {
    return Dispatcher ? AdoptedBy == Dispatcher : AdoptedHere;
  }
};

/// @brief Snapshot of one member version and the dispatcher rankings that
/// were computed from it.
struct RemoteBroker::MemberView {
  std::uint64_t Version = 0;
  std::string Self;
  std::string Region;
  std::vector<core::Member> Members;
  /// By VM id.
  std::unordered_map<std::string, std::string> Addresses;
  // Guards Rankings.
  mutable std::mutex Mutex;
  /// By hash of the group name; filled on demand.
  mutable std::unordered_map<std::uint64_t, Ranking> Rankings;
};

} // namespace jujubecart::peers

#endif
