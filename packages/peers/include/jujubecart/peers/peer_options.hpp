#ifndef JUJUBECART_PEERS_PEER_OPTIONS_HPP
#define JUJUBECART_PEERS_PEER_OPTIONS_HPP

#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/member.hpp>
#include <jujubecart/decision/quota_rule.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace jujubecart::peers {

/// @brief Settings of the communication between entry VMs.
struct PeerOptions {
  /// This VM. Address is where other VMs reach it, Incarnation is the start
  /// time of the process in Unix milliseconds.
  core::Member Self;
  /// Address to listen on; empty: the same as Self.Address.
  std::string Listen;
  /// Source IP of outgoing links; empty: chosen by the system.
  std::string SourceAddress;
  /// Use TCP without TLS; for tests only.
  bool PlainTcp = false;
  /// PEM files for mutual TLS; unused with PlainTcp.
  std::string CertificateFile;
  std::string KeyFile;
  std::string CaFile;

  /// Limit for the TCP connect and, separately, for the TLS handshake.
  std::chrono::milliseconds ConnectTimeout{1000};
  /// Backoff after the first failed dial; doubles with every further failure up
  /// to MaxBackoff. The actual delay is random, between half of the backoff and
  /// all of it.
  std::chrono::milliseconds InitialBackoff{50};
  std::chrono::milliseconds MaxBackoff{2000};
  /// A link whose peer does not send an expected reply for longer is closed.
  std::chrono::milliseconds ReplyTimeout{1000};
  /// Unsent bytes above which a link is closed; four frames of the largest
  /// size.
  std::size_t MaxQueuedBytes = std::size_t{4} << 20;

  /// How long a new call waits for a link to the dispatcher.
  std::chrono::milliseconds LinkWaitTimeout{25};
  /// A dispatcher sends at least one frame in this time to a VM whose calls
  /// wait in its queues.
  std::chrono::milliseconds HeartbeatInterval{10};
  /// A dispatcher that sends no frame for this long while calls wait for its
  /// answer becomes suspect.
  std::chrono::milliseconds DispatcherTimeout{25};
  /// How long a suspect dispatcher is not asked.
  std::chrono::milliseconds SuspectDuration{1000};
  /// Whether a lookup whose dispatcher is lost asks the next dispatcher;
  /// otherwise this VM decides at once. Worthwhile if a call takes far longer
  /// than a network round trip.
  bool AskNextDispatcher = false;
  /// Clock that this VM states in gossip, so that its peers can tell it
  /// instants; nullptr if it states none.
  const core::Clock *StatedClock = nullptr;
  /// Whether the VMs send each other configuration changes.
  bool SyncConfig = true;

  /// Time between push-pull gossip rounds and number of peers per round. Two
  /// rounds per second with two peers each spread an entry to 200 VMs within
  /// SuspectAfter; docs/peers.md has the measurement.
  std::chrono::milliseconds GossipInterval{500};
  std::size_t GossipFanout = 2;
  /// Whether rounds follow each other quickly after the start. Needed if VMs
  /// that start together are not listed with their incarnations.
  bool FastFirstRounds = true;
  /// Time since the last frame of a VM, received here or reported by gossip,
  /// after which the VM becomes suspect, and after which it is removed.
  std::chrono::milliseconds SuspectAfter{3000};
  std::chrono::milliseconds RemoveAfter{30000};

  /// Number of peers to which a VM sends a new configuration at once.
  std::size_t ConfigPushFanout = 3;
  /// Price of a gigabyte between zones, in calls that meet their objective. VMs
  /// tell dispatchers the bytes of their calls only if it is set.
  std::optional<double> ZonePricePerGb;
  /// In which windows the quotas of workspaces are counted.
  decision::QuotaRule Quotas;
  /// Seed of the random number generators; different on every VM.
  std::uint64_t RandomSeed = 1;
};

} // namespace jujubecart::peers

#endif
