#ifndef JUJUBECART_PEERS_PEER_OPTIONS_HPP
#define JUJUBECART_PEERS_PEER_OPTIONS_HPP

#include <jujubecart/core/member.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace jujubecart::peers {

/// @brief Settings of everything between entry VMs.
struct PeerOptions {
  /// This VM; Address is where others reach it, Incarnation its start time.
  core::Member Self;
  /// Address to listen on; empty: the same as Self.Address.
  std::string Listen;
  /// IP from which links are opened; empty: chosen by the system.
  std::string Source;
  /// Links without TLS, for tests.
  bool PlainTcp = false;
  std::string CertificateFile;
  std::string KeyFile;
  std::string CaFile;

  std::chrono::milliseconds ConnectTimeout{1000};
  std::chrono::milliseconds BackoffLow{50};
  std::chrono::milliseconds BackoffHigh{2000};
  /// A link whose peer owes a frame for this long is closed.
  std::chrono::milliseconds ReplyTimeout{1000};
  /// Bytes that may wait on a link before it is closed. Holds four frames of
  /// the largest size.
  std::size_t MaxQueuedBytes = std::size_t{4} << 20;

  /// How long a new call waits for a link to the dispatcher.
  std::chrono::milliseconds DialPatience{25};
  /// Longest time without a frame to a VM whose calls wait.
  std::chrono::milliseconds HeartbeatEvery{10};
  /// Silence after which a dispatcher counts as suspect.
  std::chrono::milliseconds SilenceLimit{25};
  std::chrono::milliseconds SuspectFor{1000};
  /// Whether a lookup whose dispatcher is lost asks the next one; otherwise
  /// this VM decides at once. Pays if a call takes far longer than the network.
  bool AskNextDispatcher = false;
  /// Whether configurations are passed on between the VMs.
  bool SyncConfig = true;

  /// Two push-pull rounds per second with two peers each spread an entry to
  /// 200 VMs within SuspectAfter; docs/peers.md has the measurement.
  std::chrono::milliseconds GossipEvery{500};
  std::size_t GossipPeers = 2;
  std::chrono::milliseconds SuspectAfter{3000};
  std::chrono::milliseconds RemoveAfter{30000};

  std::size_t PushPeers = 3;
  std::uint64_t Seed = 1;
};

} // namespace jujubecart::peers

#endif
