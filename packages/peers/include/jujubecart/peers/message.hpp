#ifndef JUJUBECART_PEERS_MESSAGE_HPP
#define JUJUBECART_PEERS_MESSAGE_HPP

#include <jujubecart/core/config.hpp>
#include <jujubecart/core/entry_store.hpp>
#include <jujubecart/core/error.hpp>
#include <jujubecart/core/hash.hpp>
#include <jujubecart/core/request_id.hpp>
#include <jujubecart/core/slot_broker.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jujubecart::peers {

/// @brief Number of a call, unique on the link for the VM that asked.
using CallId = std::uint32_t;

/// @brief First message of both sides of a link.
struct Hello {
  std::string Sender;
  std::uint64_t Incarnation = 0;
  std::string Address;
  std::string Zone;
  std::string Region;
  core::Revision Revision = 0;
  bool Leaving = false;
  std::string Operators;
  std::uint32_t ProcessorMilli = 1000;
};

/// @brief Asks the dispatcher of a group for a slot.
struct Acquire {
  CallId Call = 0;
  std::uint64_t Group = 0;
  /// Milliseconds until the deadline; wall clocks of two VMs may differ.
  std::uint32_t LeftMs = 0;
  core::RequestId Request;
  std::uint64_t CallerHash = 0;
  core::Revision Revision = 0;
  std::uint8_t Priority = 5;
  std::optional<core::OrderKey> Key;
  /// Hashes of server ids.
  std::vector<std::uint64_t> Excluded;
  /// Milliseconds until the latency objective is missed.
  std::optional<std::uint32_t> ObjectiveLeftMs;
  std::uint64_t WorkClass = 0;
};

/// @brief Keeps the receiver informed that its calls wait.
struct Queued {
  std::uint32_t Waiting = 0;
};

/// @brief Gives a slot to a call.
struct Grant {
  CallId Call = 0;
  /// Hash of the server id.
  std::uint64_t Server = 0;
  /// Present if the receiver may not know the server.
  std::optional<core::BackendServer> Full;
};

/// @brief Ends a call without a slot.
struct Refuse {
  CallId Call = 0;
  core::Error Reason = core::Error::Unavailable;
  std::uint32_t RetryAfterMs = 0;
};

/// @brief Returns a slot; Group is 0 if Call names a grant of this link.
struct Release {
  CallId Call = 0;
  core::CallReport Report;
  std::uint64_t Group = 0;
  std::uint64_t Server = 0;
};

/// @brief Withdraws a waiting call.
struct Cancel {
  CallId Call = 0;
};

/// @brief A member as the sender knows it.
struct MemberEntry {
  std::string Id;
  std::string Address;
  std::string Zone;
  std::string Region;
  std::uint64_t Incarnation = 0;
  bool Leaving = false;
  /// Units of 100 ms since the member was heard from, rounded up.
  std::uint8_t Age = 0;
  std::string Operators;
  std::uint32_t ProcessorMilli = 1000;
};

/// @brief Digest of the member table and the entries that differ.
struct GossipMessage {
  core::Revision Revision = 0;
  bool Reply = false;
  std::vector<std::uint32_t> Digests;
  std::vector<std::uint16_t> Counts;
  std::vector<std::uint8_t> Ages;
  std::vector<MemberEntry> Members;
};

/// @brief Asks for the changes after a revision.
struct ConfigRequest {
  core::Revision Since = 0;
};

/// @brief One changed service as the JSON of a ticket; empty removes it.
struct ServiceChange {
  std::string Name;
  core::Revision Changed = 0;
  std::string Config;
};

/// @brief All services changed between two revisions.
struct ConfigDelta {
  core::Revision Base = 0;
  core::Revision Target = 0;
  std::vector<ServiceChange> Services;
};

/// @brief Announces that the sender closes the link.
struct Bye {
  std::string Reason;
};

/// @brief Calls granted by an earlier dispatcher that still run.
struct InFlight {
  struct Count {
    std::uint64_t Server = 0;
    std::uint32_t Calls = 0;
  };
  std::uint64_t Group = 0;
  std::vector<Count> Servers;
};

/// @brief Frees the order key of a request that was not run.
struct ClaimRelease {
  std::string Service;
  core::OrderKey Key;
  core::RequestId Request;
};

/// @brief What the store told the sender.
struct StoreChanges {
  core::EntryChanges Changes;
};

/// @brief Any message; the first alternative stands for an unknown type.
using Message =
    std::variant<std::monostate, Hello, Acquire, Queued, Grant, Refuse, Release,
                 Cancel, GossipMessage, ConfigRequest, ConfigDelta, Bye,
                 InFlight, ClaimRelease, StoreChanges>;

/// @brief Number of message types, the unknown type included.
inline constexpr std::size_t MessageTypes = std::variant_size_v<Message>;

/// @brief Readable name of a message type.
/// @param Type Index of the alternative.
[[nodiscard]] std::string_view messageName(std::size_t Type) noexcept;

} // namespace jujubecart::peers

#endif
