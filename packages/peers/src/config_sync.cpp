#include <jujubecart/peers/config_sync.hpp>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <jujubecart/core/config_json.hpp>
#include <jujubecart/core/log.hpp>
#include <nlohmann/json.hpp>

namespace jujubecart::peers {

namespace asio = boost::asio;

namespace internal {

// Parses the services of a delta. Returns nothing if any of them is invalid;
// the findings are then in Report.
std::optional<core::ConfigSnapshot::ServiceMap>
readChanges(const ConfigDelta &Item, core::Findings &Report) {
  core::ConfigSnapshot::ServiceMap Changed;
  for (const ServiceChange &Change : Item.Services) {
    auto Entry = std::make_shared<core::ServiceEntry>();
    Entry->Changed = Change.Changed;
    if (Change.Changed <= Item.Base || Change.Changed > Item.Target)
      Report.add("/" + Change.Name, std::to_string(Change.Changed),
                 "revision within the delta");
    if (!Change.Config.empty()) {
      const auto Value = nlohmann::json::parse(Change.Config, nullptr, false);
      Entry->Service =
          core::readService(Change.Name, Value, "/" + Change.Name, Report);
    }
    Changed.insert_or_assign(Change.Name, std::move(Entry));
  }
  if (!Report.empty())
    return std::nullopt;
  return Changed;
}

} // namespace internal

ConfigSync::ConfigSync(const asio::any_io_executor &Executor,
                       const Environment &Dependencies)
    : Executor(Executor), Env(Dependencies),
      PreviousRevision(Env.Config.current()->revision()),
      Random(Env.Links.options().RandomSeed) {
  Env.Config.subscribe([this](const auto &Snapshot) { pushToPeers(Snapshot); });
}

core::Awaitable<bool> ConfigSync::requestFromPeers(core::TimePoint Deadline) {
  constexpr std::chrono::milliseconds RetryInterval{20};
  asio::steady_timer Timer(Executor);
  while (Env.Config.current()->revision() == 0 && Env.Time.now() < Deadline) {
    // A link that opens later requests the configuration in onOpen().
    for (const core::Member &Item : Env.Members.selectPeers(
             Env.Links.options().ConfigPushFanout, ++Random))
      Env.Links.connectInBackground(Item.Id, Item.Address);
    for (const LinkPtr &OpenLink : Env.Links.links())
      onPeerRevision(OpenLink, OpenLink->peer().Revision);
    Timer.expires_after(RetryInterval);
    co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_return Env.Config.current()->revision() > 0;
}

void ConfigSync::onOpen(const LinkPtr &Source) {
  onPeerRevision(Source, Source->peer().Revision);
}

void ConfigSync::onClose(const LinkPtr &Source) {
  const std::lock_guard Lock(Mutex);
  Peers.erase(Source->number());
}

void ConfigSync::onPeerRevision(const LinkPtr &Source,
                                core::Revision PeerRevision) {
  constexpr std::chrono::milliseconds RequestTimeout{500};
  if (!Env.Links.options().SyncConfig)
    return;
  const auto Snapshot = Env.Config.current();
  const core::Revision OwnRevision = Snapshot->revision();
  bool PeerIsBehind = false;
  {
    const std::lock_guard Lock(Mutex);
    Peer &Entry = Peers[Source->number()];
    Entry.KnownRevision = std::max(Entry.KnownRevision, PeerRevision);
    const core::TimePoint Now = Env.Time.now();
    if (PeerRevision > OwnRevision) {
      if (Entry.RequestedRevision >= PeerRevision &&
          Now - Entry.RequestedAt < RequestTimeout)
        return;
      Entry.RequestedRevision = PeerRevision;
      Entry.RequestedAt = Now;
    } else if (Entry.KnownRevision < OwnRevision) {
      Entry.KnownRevision = OwnRevision;
      PeerIsBehind = true;
    } else {
      return;
    }
  }
  if (PeerIsBehind)
    sendDelta(Source, *Snapshot, PeerRevision);
  else
    Source->send(ConfigRequest{.Since = OwnRevision});
}

void ConfigSync::sendDelta(const LinkPtr &To,
                           const core::ConfigSnapshot &Snapshot,
                           core::Revision Since) {
  ConfigDelta Delta{
      .Base = Since, .Target = Snapshot.revision(), .Services = {}};
  for (const auto &[Name, Entry] : Snapshot.changedSince(Since))
    Delta.Services.push_back(
        {.Name = Name,
         .Changed = Entry->Changed,
         .Config = Entry->Service ? core::writeService(*Entry->Service).dump()
                                  : std::string()});
  To->send(Delta);
}

// Sends a new configuration to at most ConfigPushFanout random peers, each of
// which forwards it in the same way.
void ConfigSync::pushToPeers(const core::ConfigSource::Snapshot &Snapshot) {
  Env.Events.record({.Kind = "config.applied",
                     .Detail = std::to_string(Snapshot->revision())});
  if (!Env.Links.options().SyncConfig)
    return;
  std::vector<std::pair<LinkPtr, core::Revision>> Targets;
  std::vector<LinkPtr> OpenLinks = Env.Links.links();
  {
    const std::lock_guard Lock(Mutex);
    while (!OpenLinks.empty() &&
           Targets.size() < Env.Links.options().ConfigPushFanout) {
      Random = Random * 6364136223846793005ULL + 1442695040888963407ULL;
      const auto At =
          OpenLinks.begin() +
          static_cast<std::ptrdiff_t>((Random >> 33U) % OpenLinks.size());
      Peer &Entry = Peers[(*At)->number()];
      if (Entry.KnownRevision < Snapshot->revision()) {
        // The peer most likely has the revision that was in force here before.
        Targets.emplace_back(*At,
                             std::max(Entry.KnownRevision, PreviousRevision));
        Entry.KnownRevision = Snapshot->revision();
      }
      OpenLinks.erase(At);
    }
    PreviousRevision = Snapshot->revision();
  }
  for (const auto &[PeerLink, Since] : Targets)
    sendDelta(PeerLink, *Snapshot, Since);
}

void ConfigSync::onFrame(const LinkPtr &Source, const Frame &Item) {
  if (!Env.Links.options().SyncConfig)
    return;
  if (const auto *Request = std::get_if<ConfigRequest>(&Item.Body)) {
    const auto Snapshot = Env.Config.current();
    if (Snapshot->revision() > Request->Since)
      sendDelta(Source, *Snapshot, Request->Since);
  } else if (const auto *Delta = std::get_if<ConfigDelta>(&Item.Body)) {
    onDelta(Source, *Delta);
  }
}

void ConfigSync::onDelta(const LinkPtr &Source, const ConfigDelta &Item) {
  const core::Revision OwnRevision = Env.Config.current()->revision();
  {
    const std::lock_guard Lock(Mutex);
    Peer &Entry = Peers[Source->number()];
    Entry.KnownRevision = std::max(Entry.KnownRevision, Item.Target);
  }
  if (Item.Target <= OwnRevision)
    return;
  if (Item.Base > OwnRevision) {
    Source->send(ConfigRequest{.Since = OwnRevision});
    return;
  }
  core::Findings Report("config delta");
  const auto Changed = internal::readChanges(Item, Report);
  if (!Changed) {
    core::LogLine(core::LogLevel::Error, "config.delta_invalid")
        .field("peer", Source->peer().Sender)
        .field("revision", Item.Target)
        .field("reason", Report.text());
    return;
  }
  Env.Config.applyDelta(Item.Base, Item.Target, *Changed);
}

} // namespace jujubecart::peers
