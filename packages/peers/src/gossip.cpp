#include <jujubecart/peers/gossip.hpp>

#include "timer.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace jujubecart::peers {

namespace asio = boost::asio;

Gossip::Gossip(const asio::any_io_executor &Executor, LinkTable &Links,
               MemberTable &Members, core::ConfigSource &Config,
               ConfigSync &Sync)
    : Links(Links), Members(Members), Config(Config), Sync(Sync),
      Timer(internal::makeSerialTimer(Executor)),
      RandomState(Links.options().RandomSeed) {}

void Gossip::start() {
  asio::co_spawn(Timer.get_executor(), roundLoop(), asio::detached);
}

void Gossip::stop() {
  Stopped = true;
  internal::cancelLater(Timer);
}

core::Awaitable<void> Gossip::roundLoop() {
  constexpr std::chrono::milliseconds TickInterval{250};
  // Short intervals at first, so that VMs that start at the same time discover
  // each other quickly.
  constexpr std::chrono::milliseconds StartupInterval{100};
  constexpr std::chrono::seconds StartupDuration{2};
  core::TimePoint NextRound = core::TimePoint::min();
  const core::TimePoint Started = std::chrono::steady_clock::now();
  while (!Stopped) {
    for (const std::string &Vm : Members.tick())
      Links.closeLinks(Vm,
                       "peer is suspect or was removed from the member table");
    const core::TimePoint Now = std::chrono::steady_clock::now();
    if (Now >= NextRound) {
      runRound();
      // The interval varies by 5 % in both directions, which keeps the VMs from
      // gossiping in lockstep.
      RandomState =
          RandomState * 6364136223846793005ULL + 1442695040888963407ULL;
      const auto Interval =
          Links.options().FastFirstRounds && Now - Started < StartupDuration
              ? std::min(StartupInterval, Links.options().GossipInterval)
              : Links.options().GossipInterval;
      NextRound = Now + Interval * (95 + (RandomState >> 33U) % 11) / 100;
    }
    Timer.expires_at(std::min(NextRound, Now + TickInterval));
    co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

void Gossip::runRound() {
  for (const core::Member &Item :
       Members.selectPeers(Links.options().GossipFanout, RandomState)) {
    if (const LinkPtr Open = Links.find(Item.Id)) {
      sendDigest(Open, false, {});
      Open->expectReply();
    } else {
      // onOpen() sends the digest on the new link.
      Links.connectInBackground(Item.Id, Item.Address);
    }
  }
}

void Gossip::announce() {
  for (const LinkPtr &Open : Links.links())
    sendDigest(Open, false, {});
}

std::uint64_t Gossip::sentAtMs() const noexcept {
  const core::Clock *Stated = Links.options().StatedClock;
  return Stated == nullptr
             ? 0
             : static_cast<std::uint64_t>(Stated->uptime().count());
}

void Gossip::sendDigest(const LinkPtr &To, bool Reply,
                        std::vector<MemberEntry> Differing) {
  GossipMessage Message = Members.digest();
  Message.Revision = Config.current()->revision();
  Message.Reply = Reply;
  Message.Members = std::move(Differing);
  Message.SentAtMs = sentAtMs();
  To->send(Message);
}

void Gossip::onOpen(const LinkPtr &Source) {
  Members.recordHello(Source->peer());
  if (Source->dialed())
    sendDigest(Source, false, {});
}

// Push-pull exchange: a digest is answered with this VM's digest and the
// entries that differ; the reply to that contains only the differing entries of
// the side that started the exchange.
void Gossip::onFrame(const LinkPtr &Source, const Frame &Item) {
  Members.recordFrame(Source->peer().Sender, Source->peer().Incarnation);
  const auto *Received = std::get_if<GossipMessage>(&Item.Body);
  if (Received == nullptr)
    return;
  std::vector<MemberEntry> Differing = Members.merge(*Received);
  if (!Received->Reply) {
    sendDigest(Source, true, std::move(Differing));
  } else if (!Differing.empty()) {
    // A message without digests is not answered, so that two VMs whose tables
    // stay different exchange three messages instead of an endless series.
    GossipMessage Last{.Revision = Config.current()->revision(), .Reply = true};
    Last.Members = std::move(Differing);
    Source->send(Last);
  }
  Sync.onPeerRevision(Source, Received->Revision);
}

} // namespace jujubecart::peers
