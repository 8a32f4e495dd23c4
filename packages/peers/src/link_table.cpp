#include <jujubecart/peers/link_table.hpp>

#include "one_shot.hpp"
#include "seed.hpp"
#include "stream.hpp"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <jujubecart/core/log.hpp>

namespace jujubecart::peers {

LinkTable::LinkTable(const boost::asio::any_io_executor &Executor,
                     PeerOptions Options, const core::Clock &Time,
                     core::EventSink &Events, std::shared_ptr<TlsContext> Tls)
    : Executor(Executor), Options(std::move(Options)), Time(Time),
      Events(Events), Tls(std::move(Tls)),
      Acceptor(boost::asio::make_strand(Executor)),
      SweepTimer(boost::asio::make_strand(Executor)),
      Random(static_cast<std::uint32_t>(this->Options.RandomSeed) + 1) {}

LinkTable::~LinkTable() = default;

LinkPtr LinkTable::find(std::string_view Vm) const {
  const std::lock_guard Lock(Mutex);
  const auto Found = Peers.find(Vm);
  return Found == Peers.end() ? nullptr : Found->second.Primary;
}

std::vector<LinkPtr> LinkTable::links() const {
  const std::lock_guard Lock(Mutex);
  std::vector<LinkPtr> Open;
  for (const auto &[Vm, Entry] : Peers)
    if (Entry.Primary)
      Open.push_back(Entry.Primary);
  return Open;
}

void LinkTable::closeLinks(std::string_view Vm, std::string_view Reason) {
  std::vector<LinkPtr> Closing;
  {
    const std::lock_guard Lock(Mutex);
    if (const auto Found = Peers.find(Vm); Found != Peers.end())
      Closing = Found->second.Links;
  }
  for (const LinkPtr &Item : Closing)
    Item->close(Reason);
}

void LinkTable::stop() {
  if (Stopped.exchange(true))
    return;
  boost::asio::post(Acceptor.get_executor(), [Self = shared_from_this()] {
    boost::system::error_code Ignored;
    Self->Acceptor.close(Ignored);
  });
  boost::asio::post(SweepTimer.get_executor(),
                    [Self = shared_from_this()] { Self->SweepTimer.cancel(); });
  std::vector<LinkPtr> Closing;
  {
    const std::lock_guard Lock(Mutex);
    Closing = AwaitingHello;
    for (const auto &[Vm, Entry] : Peers)
      Closing.insert(Closing.end(), Entry.Links.begin(), Entry.Links.end());
  }
  for (const LinkPtr &Item : Closing)
    Item->close("link table stopped");
  // The callbacks of a link own this table, and the table owns its links: the
  // cycle must be broken here.
  const std::lock_guard Lock(Mutex);
  AwaitingHello.clear();
  for (auto &[Vm, Entry] : Peers) {
    Entry.Links.clear();
    Entry.Primary.reset();
  }
}

LinkPtr LinkTable::addLink(std::shared_ptr<internal::Stream> Transport,
                           bool Dialed, const std::string &ExpectedVm) {
  LinkPtr Added;
  {
    const std::lock_guard Lock(Mutex);
    Added = std::make_shared<Link>(++NextNumber, Dialed, std::move(Transport),
                                   Link::Environment{Time, Events, Counters,
                                                     Options.MaxQueuedBytes,
                                                     Options.Self.Zone});
    AwaitingHello.push_back(Added);
  }
  ++Counters.LinksOpen;
  Added->expectReply();
  Added->start(
      [Self = shared_from_this(), ExpectedVm](const LinkPtr &Source,
                                              const Frame &Received) {
        Self->onFrame(Source, Received, ExpectedVm);
      },
      [Self = shared_from_this(), ExpectedVm](const LinkPtr &Source) {
        Self->onClosed(Source, ExpectedVm);
      });
  Added->send(HelloSource());
  return Added;
}

void LinkTable::onFrame(const LinkPtr &Source, const Frame &Item,
                        const std::string &ExpectedVm) {
  if (Stopped)
    return;
  if (Source->peer().Sender.empty()) {
    if (const Hello *Received = std::get_if<Hello>(&Item.Body))
      onHello(Source, *Received, ExpectedVm);
    else
      Source->close("first frame is not a hello");
    return;
  }
  if (const Bye *PeerBye = std::get_if<Bye>(&Item.Body)) {
    Source->close("closed by peer: " + PeerBye->Reason);
    return;
  }
  for (LinkListener *Listener : Listeners)
    Listener->onFrame(Source, Item);
}

// Two VMs that dial each other at the same time must keep the same link: the
// one dialed by the VM with the lower id. In all other cases the newer link
// wins, because the peer has lost the older one.
bool LinkTable::shouldReplace(const Link &Candidate,
                              const Link &Current) const {
  constexpr std::chrono::seconds SimultaneousDialWindow{1};
  if (Current.closed() ||
      Candidate.peer().Incarnation > Current.peer().Incarnation)
    return true;
  if (Candidate.dialed() == Current.dialed() ||
      Candidate.openedAt() - Current.openedAt() > SimultaneousDialWindow)
    return true;
  const bool LowerId = Options.Self.Id < Candidate.peer().Sender;
  return Candidate.dialed() == LowerId;
}

void LinkTable::onHello(const LinkPtr &Source, const Hello &PeerHello,
                        const std::string &ExpectedVm) {
  if (PeerHello.Sender.empty() || PeerHello.Sender == Options.Self.Id) {
    Source->close("hello with an empty sender or the id of this VM");
    return;
  }
  const bool AcceptsAnySender =
      ExpectedVm.empty() || internal::isSeed(ExpectedVm);
  if (!AcceptsAnySender && ExpectedVm != PeerHello.Sender) {
    Source->close("dialed address belongs to another VM");
    return;
  }
  Source->setPeer(PeerHello);
  std::vector<LinkPtr> Outdated;
  {
    const std::lock_guard Lock(Mutex);
    std::erase(AwaitingHello, Source);
    Peer &Entry = Peers[PeerHello.Sender];
    for (const LinkPtr &Current : Entry.Links) {
      if (Current->peer().Incarnation > PeerHello.Incarnation)
        Outdated.push_back(Source);
      if (Current->peer().Incarnation < PeerHello.Incarnation)
        Outdated.push_back(Current);
    }
    Entry.Links.push_back(Source);
    if (!Entry.Primary || shouldReplace(*Source, *Entry.Primary))
      Entry.Primary = Source;
    Entry.FailedDials = 0;
  }
  for (const LinkPtr &Closing : Outdated)
    Closing->close("link of an earlier incarnation of the peer");
  for (LinkListener *Listener : Listeners)
    Listener->onOpen(Source);
  completeDial(PeerHello.Sender, Source);
  if (internal::isSeed(ExpectedVm))
    completeDial(ExpectedVm, Source);
}

void LinkTable::onClosed(const LinkPtr &Source, const std::string &ExpectedVm) {
  --Counters.LinksOpen;
  const std::string &Vm = Source->peer().Sender;
  {
    const std::lock_guard Lock(Mutex);
    std::erase(AwaitingHello, Source);
    if (const auto Found = Peers.find(Vm); Found != Peers.end()) {
      Peer &Entry = Found->second;
      std::erase(Entry.Links, Source);
      if (Entry.Primary == Source)
        Entry.Primary = Entry.Links.empty() ? nullptr : Entry.Links.back();
    }
  }
  if (Vm.empty()) {
    if (!ExpectedVm.empty())
      completeDial(ExpectedVm, nullptr);
    return;
  }
  if (!Stopped)
    for (LinkListener *Listener : Listeners)
      Listener->onClose(Source);
}

// Resumes the waiting callers. After a failure the backoff doubles up to its
// maximum; half of it is random (jitter), which keeps the VMs from dialing in
// lockstep.
void LinkTable::completeDial(const std::string &Vm, const LinkPtr &Result) {
  std::vector<std::shared_ptr<DialWaiter>> Waiters;
  {
    const std::lock_guard Lock(Mutex);
    Peer &Entry = Peers[Vm];
    Waiters.swap(Entry.DialWaiters);
    Entry.Dialing = false;
    if (!Result) {
      ++Counters.DialsFailed;
      const auto Backoff =
          std::min(Options.MaxBackoff,
                   Options.InitialBackoff * (1 << Entry.FailedDials));
      Entry.FailedDials = std::min(Entry.FailedDials + 1, 10);
      std::uniform_int_distribution<std::int64_t> Jittered(Backoff.count() / 2,
                                                           Backoff.count());
      Entry.NextDialAt =
          Time.now() + std::chrono::milliseconds(Jittered(Random));
    }
  }
  for (const auto &Item : Waiters)
    Item->set(Result);
}

void LinkTable::sweep() {
  constexpr std::chrono::seconds MinRedundantAge{2};
  const core::TimePoint Now = Time.now();
  std::vector<LinkPtr> Overdue;
  std::vector<LinkPtr> Redundant;
  const auto ReplyOverdue = [&](const LinkPtr &Item) {
    const auto Since = Item->awaitingReplySince();
    return Since && Now - *Since > Options.ReplyTimeout;
  };
  {
    const std::lock_guard Lock(Mutex);
    std::copy_if(AwaitingHello.begin(), AwaitingHello.end(),
                 std::back_inserter(Overdue), ReplyOverdue);
    for (const auto &[Vm, Entry] : Peers)
      for (const LinkPtr &Item : Entry.Links) {
        if (ReplyOverdue(Item))
          Overdue.push_back(Item);
        else if (Item != Entry.Primary && Options.Self.Id < Vm &&
                 Item->idle() && Now - Item->openedAt() > MinRedundantAge)
          Redundant.push_back(Item);
      }
  }
  for (const LinkPtr &Item : Overdue)
    Item->close("reply timeout: no frame from peer");
  for (const LinkPtr &Item : Redundant)
    Item->close("redundant link after simultaneous dials");
}

core::Awaitable<void> LinkTable::sweepLoop(std::shared_ptr<LinkTable> Self) {
  constexpr std::chrono::milliseconds SweepInterval{100};
  core::TimePoint LastSweep = Self->Time.now();
  while (!Self->Stopped) {
    Self->SweepTimer.expires_after(SweepInterval);
    boost::system::error_code Ignored;
    co_await Self->SweepTimer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, Ignored));
    const core::TimePoint Now = Self->Time.now();
    // After a pause of this process the peers' frames are still unread in the
    // socket buffers, so an overdue reply proves nothing.
    if (Now - LastSweep < 5 * SweepInterval)
      Self->sweep();
    LastSweep = Now;
  }
}

} // namespace jujubecart::peers
