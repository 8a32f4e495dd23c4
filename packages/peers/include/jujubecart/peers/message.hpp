#ifndef JUJUBECART_PEERS_MESSAGE_HPP
#define JUJUBECART_PEERS_MESSAGE_HPP

#include <jujubecart/core/config.hpp>
#include <jujubecart/core/entry_store.hpp>
#include <jujubecart/core/error.hpp>
#include <jujubecart/core/hash.hpp>
#include <jujubecart/core/rate_limit.hpp>
#include <jujubecart/core/request_id.hpp>
#include <jujubecart/core/slot_broker.hpp>
#include <jujubecart/decision/workspace_quotas.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jujubecart::peers {

/// @brief Id of a call, chosen by the VM that requests the slot and unique
/// among its calls on a link.
using CallId = std::uint32_t;

/// @brief First message in both directions of a link; identifies the sender.
struct Hello {
  std::string Sender;
  std::uint64_t Incarnation = 0;
  std::string Address;
  std::string Zone;
  std::string Region;
  core::Revision Revision = 0;
  bool Leaving = false;
  /// `IP:port` of the operators' endpoint; may be empty.
  std::string Operators;
  /// Share of a processor core in thousandths.
  std::uint32_t ProcessorMilli = 1000;
  /// Uptime of the sender when it sent the frame, in milliseconds; 0 from a
  /// sender that does not state it. Only differences have a meaning here.
  std::uint64_t SentAtMs = 0;
};

/// @brief Asks the dispatcher of a group for a slot.
struct Acquire {
  CallId Call = 0;
  /// Hash of the group id.
  std::uint64_t Group = 0;
  /// Milliseconds until the deadline. A duration, because the wall clocks of
  /// two VMs may differ.
  std::uint32_t RemainingMs = 0;
  core::RequestId Request;
  std::uint64_t CallerHash = 0;
  /// Configuration revision of the sender.
  core::Revision Revision = 0;
  std::uint8_t Priority = 5;
  std::optional<core::OrderKey> Key;
  /// Hashes of the ids of servers that must not be granted.
  std::vector<std::uint64_t> Excluded;
  /// Milliseconds until the latency objective is missed; empty without one.
  std::optional<std::uint32_t> ObjectiveRemainingMs;
  std::uint64_t WorkClass = 0;
  struct ServerLimit {
    /// Hash of the server id.
    std::uint64_t Server = 0;
    core::RateLimit Limit;
    /// Milliseconds since the server stated it to the sender.
    std::uint32_t AgeMs = 0;

    friend auto operator<=>(const ServerLimit &, const ServerLimit &) = default;
  };
  /// Rate limits of servers of the group that the sender knows.
  std::vector<ServerLimit> Limits;
  /// As in core::SlotRequest.
  std::uint64_t Workspace = 0;
  /// As in core::SlotRequest.
  bool CountsAgainstQuota = false;
};

/// @brief Heartbeat while calls of the receiver wait in the sender's queues, so
/// that silence means a failed dispatcher or connection.
struct Queued {
  /// Number of waiting calls.
  std::uint32_t Waiting = 0;
};

/// @brief Grants a call a slot of a backend server.
struct Grant {
  CallId Call = 0;
  /// Hash of the server id.
  std::uint64_t Server = 0;
  /// Present if the receiver's configuration is older, so that it may not know
  /// the server.
  std::optional<core::BackendServer> ServerDetails;
  /// Opportunity cost of a slot of the group in percent of a call; 0 if the
  /// dispatcher does not know it.
  std::uint8_t SlotPricePercent = 0;
  /// Time in milliseconds until a second attempt on another server is worth its
  /// cost; NeverHedgeMs if it never is.
  std::uint32_t HedgeAfterMs = NeverHedgeMs;

  static constexpr std::uint32_t NeverHedgeMs = 0xffffffff;
};

/// @brief Rejects a call: no slot was granted.
struct Refuse {
  CallId Call = 0;
  core::Error Reason = core::Error::Unavailable;
  /// Suggested delay before a retry in milliseconds.
  std::uint32_t RetryAfterMs = 0;
  /// As in Grant.
  std::uint8_t SlotPricePercent = 0;
};

/// @brief Returns a slot with the outcome of its call. The call is identified
/// by Call if it was granted on this link (Group is 0 then), or by Group and
/// Server if the receiver learned of it by InFlight.
struct Release {
  CallId Call = 0;
  core::CallReport Report;
  /// Hash of the group id.
  std::uint64_t Group = 0;
  /// Hash of the server id.
  std::uint64_t Server = 0;
};

/// @brief Withdraws a call or returns its grant unused.
struct Cancel {
  CallId Call = 0;
};

/// @brief Entry of the sender's member table.
struct MemberEntry {
  std::string Id;
  std::string Address;
  std::string Zone;
  std::string Region;
  std::uint64_t Incarnation = 0;
  bool Leaving = false;
  /// Time since the last frame of the member, in units of 100 ms, rounded up;
  /// 255 also stands for more.
  std::uint8_t Age = 0;
  /// `IP:port` of the operators' endpoint; may be empty.
  std::string Operators;
  /// Share of a processor core in thousandths.
  std::uint32_t ProcessorMilli = 1000;
};

/// @brief Digest of the sender's member table and the entries that differ from
/// the receiver's.
struct GossipMessage {
  /// Configuration revision of the sender.
  core::Revision Revision = 0;
  /// Whether this answers a gossip message.
  bool Reply = false;
  /// Hash of each bucket; empty in the last message of an exchange.
  std::vector<std::uint32_t> Digests;
  /// Number of members of each bucket.
  std::vector<std::uint16_t> Counts;
  /// MemberEntry::Age of each member, ordered by bucket and id.
  std::vector<std::uint8_t> Ages;
  std::vector<MemberEntry> Members;
  /// As Hello::SentAtMs.
  std::uint64_t SentAtMs = 0;
};

/// @brief Requests the configuration changes after a revision.
struct ConfigRequest {
  core::Revision Since = 0;
};

/// @brief A changed or removed service.
struct ServiceChange {
  std::string Name;
  /// Revision of the change.
  core::Revision Changed = 0;
  /// Configuration as the JSON of a ticket; empty if the service was removed.
  std::string Config;
};

/// @brief All services changed after revision Base, up to revision Target.
struct ConfigDelta {
  core::Revision Base = 0;
  core::Revision Target = 0;
  std::vector<ServiceChange> Services;
};

/// @brief Announces that the sender closes the link.
struct Bye {
  std::string Reason;
};

/// @brief Reports the sender's running calls that an earlier dispatcher
/// granted, so that the receiver, the new dispatcher, counts their slots as
/// used.
struct InFlight {
  struct Count {
    /// Hash of the server id.
    std::uint64_t Server = 0;
    std::uint32_t Calls = 0;
  };
  /// Hash of the group id.
  std::uint64_t Group = 0;
  std::vector<Count> Servers;
};

/// @brief Releases the claim on an order key whose request was not executed.
struct ClaimRelease {
  std::string Service;
  core::OrderKey Key;
  core::RequestId Request;
};

/// @brief Relays store changes that the sender received to a peer.
struct StoreChanges {
  core::EntryChanges Changes;
  /// Uptime of the sender when a VM got them from the store, in milliseconds;
  /// 0 as in Hello::SentAtMs.
  std::uint64_t ReadAtMs = 0;
  /// Uptime of the receiver up to which the changes are complete; 0 if that is
  /// not known. See core::ReportedChanges and PeerClock.
  std::uint64_t CompleteUntilMs = 0;
  /// Hashes of the ids of the relays. A receiver among them passes the changes
  /// on to the VMs for which decision::relayOf() selects it.
  std::vector<std::uint64_t> Relays;
  /// Whether the receiver is asked to send them to all other VMs.
  bool PassOn = false;
};

/// @brief Requests of workspaces at the sender since its last report, for the
/// other VMs that dispatch groups.
struct QuotaReport {
  std::vector<decision::WorkspaceUse> Items;
  /// Whether the receiver is asked for a QuotaHistoryMessage.
  bool WantsHistory = false;
};

/// @brief What the sender knows of the requests of the last window; answers a
/// QuotaReport that asks for it.
struct QuotaHistoryMessage {
  decision::QuotaHistory History;
};

/// @brief Any message. The first alternative stands for a type that this
/// version does not know.
using Message =
    std::variant<std::monostate, Hello, Acquire, Queued, Grant, Refuse, Release,
                 Cancel, GossipMessage, ConfigRequest, ConfigDelta, Bye,
                 InFlight, ClaimRelease, StoreChanges, QuotaReport,
                 QuotaHistoryMessage>;

/// @brief Number of message types, the unknown type included.
inline constexpr std::size_t MessageTypeCount = std::variant_size_v<Message>;

/// @brief Name of a message type in logs and metric labels; "unknown" for an
/// index that is out of range.
/// @param Type Index of the alternative in Message.
[[nodiscard]] std::string_view messageName(std::size_t Type) noexcept;

} // namespace jujubecart::peers

#endif
