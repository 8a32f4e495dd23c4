#ifndef JUJUBECART_PEERS_SRC_BROKER_STATE_HPP
#define JUJUBECART_PEERS_SRC_BROKER_STATE_HPP

#include "one_shot.hpp"
#include <jujubecart/peers/remote_broker.hpp>

namespace jujubecart::peers {

/// @brief How asking one dispatcher ended.
struct RemoteBroker::Answer {
  enum class Kind : std::uint8_t {
    Granted,
    /// Final; Reason tells why.
    Refused,
    /// No link, or it closed.
    Unreachable,
    Silent,
  };
  Kind Outcome = Kind::Unreachable;
  core::Error Reason = core::Error::Unavailable;
  core::SlotGrant Grant;
  /// 0 if the dispatcher gave no advice.
  std::chrono::milliseconds RetryAfter{0};
};

/// @brief A call that waits for a dispatcher's answer.
struct RemoteBroker::Pending {
  Wait Reply;
  GroupPtr Entry;
  core::RequestId Request;
  core::TimePoint SentAt;
  core::TimePoint Deadline;
  /// Nullptr if this VM is the dispatcher.
  LinkPtr Io;
  decision::CallToken Token = 0;
};

/// @brief A grant in use and who must learn of its end.
struct RemoteBroker::Held {
  GroupPtr Entry;
  std::string Server;
  /// The dispatcher that granted, while its link lives.
  LinkPtr Io;
  CallId Call = 0;
  /// Grant of this VM's dispatcher; 0 if there is none.
  decision::CallToken Token = 0;
  /// Grant of the fallback.
  std::optional<core::SlotGrant> Local;
  /// Later dispatcher to which the call was reported.
  LinkPtr AdoptedBy;
  bool AdoptedHere = false;

  /// @brief Whether no dispatcher knows of the call.
  [[nodiscard]] bool orphan() const noexcept {
    return !Io && Token == 0 && !AdoptedBy && !AdoptedHere;
  }
};

/// @brief Members of one version with the rankings derived from them.
struct RemoteBroker::MemberView {
  std::uint64_t Version = 0;
  std::string Self;
  std::string Region;
  std::vector<core::Member> Members;
  std::unordered_map<std::string, std::string> Addresses;
  mutable std::mutex Mutex;
  mutable std::unordered_map<std::uint64_t, Ranking> Rankings;
};

} // namespace jujubecart::peers

#endif
