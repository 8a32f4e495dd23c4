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

// Reads the services of a delta; nothing if one of them is invalid.
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
                       const Environment &Surroundings)
    : Executor(Executor), Env(Surroundings),
      Previous(Env.Config.current()->revision()),
      Random(Env.Links.options().Seed) {
  Env.Config.subscribe([this](const auto &Snapshot) { push(Snapshot); });
}

core::Awaitable<bool> ConfigSync::askPeers(core::TimePoint Deadline) {
  constexpr std::chrono::milliseconds Every{20};
  asio::steady_timer Timer(Executor);
  while (Env.Config.current()->revision() == 0 && Env.Time.now() < Deadline) {
    // A new link pulls by itself, see onOpen.
    for (const core::Member &Item :
         Env.Members.contacts(Env.Links.options().PushPeers, ++Random))
      Env.Links.connectLater(Item.Id, Item.Address);
    for (const LinkPtr &Open : Env.Links.links())
      observe(Open, Open->peer().Revision);
    Timer.expires_after(Every);
    co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_return Env.Config.current()->revision() > 0;
}

void ConfigSync::onOpen(const LinkPtr &Source) {
  observe(Source, Source->peer().Revision);
}

void ConfigSync::onClose(const LinkPtr &Source) {
  const std::lock_guard Lock(Mutex);
  Peers.erase(Source->number());
}

void ConfigSync::observe(const LinkPtr &Source, core::Revision Remote) {
  constexpr std::chrono::milliseconds AskAgain{500};
  if (!Env.Links.options().SyncConfig)
    return;
  const auto Snapshot = Env.Config.current();
  const core::Revision Own = Snapshot->revision();
  bool Push = false;
  {
    const std::lock_guard Lock(Mutex);
    Peer &Entry = Peers[Source->number()];
    Entry.Known = std::max(Entry.Known, Remote);
    const core::TimePoint Now = Env.Time.now();
    if (Remote > Own) {
      if (Entry.Asked >= Remote && Now - Entry.AskedAt < AskAgain)
        return;
      Entry.Asked = Remote;
      Entry.AskedAt = Now;
    } else if (Entry.Known < Own) {
      Entry.Known = Own;
      Push = true;
    } else {
      return;
    }
  }
  if (Push)
    sendDelta(Source, *Snapshot, Remote);
  else
    Source->send(ConfigRequest{.Since = Own});
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

// Sends a new configuration to a few random peers, which do the same.
void ConfigSync::push(const core::ConfigSource::Snapshot &Snapshot) {
  Env.Events.record({.Kind = "config.applied",
                     .Detail = std::to_string(Snapshot->revision())});
  if (!Env.Links.options().SyncConfig)
    return;
  std::vector<std::pair<LinkPtr, core::Revision>> Targets;
  std::vector<LinkPtr> Open = Env.Links.links();
  {
    const std::lock_guard Lock(Mutex);
    while (!Open.empty() && Targets.size() < Env.Links.options().PushPeers) {
      Random = Random * 6364136223846793005ULL + 1442695040888963407ULL;
      const auto At = Open.begin() + static_cast<std::ptrdiff_t>(
                                         (Random >> 33U) % Open.size());
      Peer &Entry = Peers[(*At)->number()];
      if (Entry.Known < Snapshot->revision()) {
        // The peer most likely has what was in force here before.
        Targets.emplace_back(*At, std::max(Entry.Known, Previous));
        Entry.Known = Snapshot->revision();
      }
      Open.erase(At);
    }
    Previous = Snapshot->revision();
  }
  for (const auto &[Io, Since] : Targets)
    sendDelta(Io, *Snapshot, Since);
}

void ConfigSync::onFrame(const LinkPtr &Source, const Frame &Item) {
  if (!Env.Links.options().SyncConfig)
    return;
  if (const auto *Asked = std::get_if<ConfigRequest>(&Item.Body)) {
    const auto Snapshot = Env.Config.current();
    if (Snapshot->revision() > Asked->Since)
      sendDelta(Source, *Snapshot, Asked->Since);
  } else if (const auto *Delta = std::get_if<ConfigDelta>(&Item.Body)) {
    onDelta(Source, *Delta);
  }
}

void ConfigSync::onDelta(const LinkPtr &Source, const ConfigDelta &Item) {
  const core::Revision Own = Env.Config.current()->revision();
  {
    const std::lock_guard Lock(Mutex);
    Peer &Entry = Peers[Source->number()];
    Entry.Known = std::max(Entry.Known, Item.Target);
  }
  if (Item.Target <= Own)
    return;
  if (Item.Base > Own) {
    Source->send(ConfigRequest{.Since = Own});
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
