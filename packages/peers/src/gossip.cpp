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
      Timer(internal::makeSerialTimer(Executor)), Random(Links.options().Seed) {
}

void Gossip::start() {
  asio::co_spawn(Timer.get_executor(), loop(), asio::detached);
}

void Gossip::stop() {
  Stopped = true;
  internal::cancelLater(Timer);
}

core::Awaitable<void> Gossip::loop() {
  constexpr std::chrono::milliseconds Tick{250};
  // Frequent rounds at first, so that a fleet that starts at once finds itself.
  constexpr std::chrono::milliseconds StartEvery{100};
  constexpr std::chrono::seconds StartPhase{2};
  core::TimePoint Next = core::TimePoint::min();
  const core::TimePoint Started = std::chrono::steady_clock::now();
  while (!Stopped) {
    for (const std::string &Vm : Members.tick())
      Links.drop(Vm, "peer is silent");
    const core::TimePoint Now = std::chrono::steady_clock::now();
    if (Now >= Next) {
      exchange();
      // A tenth of jitter keeps VMs from gossiping in step.
      Random = Random * 6364136223846793005ULL + 1442695040888963407ULL;
      const auto Every = Now - Started < StartPhase
                             ? std::min(StartEvery, Links.options().GossipEvery)
                             : Links.options().GossipEvery;
      Next = Now + Every * (95 + (Random >> 33U) % 11) / 100;
    }
    Timer.expires_at(std::min(Next, Now + Tick));
    co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

void Gossip::exchange() {
  for (const core::Member &Item :
       Members.contacts(Links.options().GossipPeers, Random)) {
    if (const LinkPtr Open = Links.find(Item.Id)) {
      sendDigest(Open, false, {});
      Open->expectReply();
    } else {
      // The new link gossips when it opens.
      Links.connectLater(Item.Id, Item.Address);
    }
  }
}

void Gossip::announce() {
  for (const LinkPtr &Open : Links.links())
    sendDigest(Open, false, {});
}

void Gossip::sendDigest(const LinkPtr &To, bool Reply,
                        std::vector<MemberEntry> Differing) {
  GossipMessage Message = Members.digest();
  Message.Revision = Config.current()->revision();
  Message.Reply = Reply;
  Message.Members = std::move(Differing);
  To->send(Message);
}

void Gossip::onOpen(const LinkPtr &Source) {
  Members.greet(Source->peer());
  if (Source->dialed())
    sendDigest(Source, false, {});
}

// A digest is answered with the own one and the entries that differ; the
// answer to that has only the entries of the other side.
void Gossip::onFrame(const LinkPtr &Source, const Frame &Item) {
  Members.heard(Source->peer().Sender, Source->peer().Incarnation);
  const auto *Received = std::get_if<GossipMessage>(&Item.Body);
  if (Received == nullptr)
    return;
  std::vector<MemberEntry> Differing = Members.merge(*Received);
  if (!Received->Reply) {
    sendDigest(Source, true, std::move(Differing));
  } else if (!Differing.empty()) {
    // Without a digest there is no further answer, so that two VMs that do not
    // agree exchange three messages and not an endless series.
    GossipMessage Last{.Revision = Config.current()->revision(), .Reply = true};
    Last.Members = std::move(Differing);
    Source->send(Last);
  }
  Sync.observe(Source, Received->Revision);
}

} // namespace jujubecart::peers
