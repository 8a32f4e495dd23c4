#include "dispatch_state.hpp"

namespace jujubecart::peers {

namespace internal {

// A call never waits longer than this, whatever its asker says.
constexpr std::chrono::minutes MaxWait{5};

core::TimePoint deadline(core::TimePoint Now, std::uint32_t LeftMs) {
  return Now + std::min<std::chrono::milliseconds>(
                   std::chrono::milliseconds(LeftMs), MaxWait);
}

} // namespace internal

DispatchService::ClientPtr DispatchService::client(const LinkPtr &Source) {
  const std::lock_guard Lock(Mutex);
  ClientPtr &Found = Clients[Source->number()];
  if (!Found) {
    Found = std::make_shared<Client>();
    Found->Io = Source;
    Found->Zone = Source->peer().Zone;
    Found->Holder =
        Source->peer().Sender + "#" + std::to_string(Source->number());
  }
  return Found;
}

void DispatchService::onFrame(const LinkPtr &Source, const Frame &Item) {
  if (const auto *Ask = std::get_if<Acquire>(&Item.Body))
    onAcquire(Source, *Ask);
  else if (const auto *End = std::get_if<Release>(&Item.Body))
    onRelease(Source, *End);
  else if (const auto *Withdrawn = std::get_if<Cancel>(&Item.Body))
    onCancel(Source, *Withdrawn);
  else if (const auto *Report = std::get_if<InFlight>(&Item.Body))
    onInFlight(Source, *Report);
  else if (const auto *Claim = std::get_if<ClaimRelease>(&Item.Body))
    releaseClaim(Claim->Service, Claim->Key, Claim->Request);
}

void DispatchService::onAcquire(const LinkPtr &Source, const Acquire &Item) {
  const GroupPtr Entry = Env.Groups.current()->find(Item.Group);
  // The configuration here or there is older: the asker decides.
  if (!Entry) {
    Source->send(Refuse{.Call = Item.Call, .Reason = core::Error::NotReady});
    return;
  }
  const GroupState Target = group(Entry);
  Call Added;
  Added.Token = newToken();
  Added.Request = Item.Request;
  const core::TimePoint Now = Env.Time.now();
  Added.Deadline = internal::deadline(Now, Item.LeftMs);
  if (Item.ObjectiveLeftMs)
    Added.Objective = internal::deadline(Now, *Item.ObjectiveLeftMs);
  Added.WorkClass = Item.WorkClass;
  Added.Priority = Item.Priority;
  Added.Key = Item.Key;
  Added.Asker = client(Source);
  Added.Remote = Item.Call;
  Added.Revision = Item.Revision;
  {
    const std::lock_guard Lock(Added.Asker->Mutex);
    if (Added.Asker->Gone)
      return;
    if (!Added.Asker->Calls.emplace(Item.Call, std::pair(Target, Added.Token))
             .second) {
      Source->close("call number used twice");
      return;
    }
    Added.Asker->Groups.insert(Target);
  }
  Source->addWork(1);
  std::vector<std::string> Excluded;
  for (const std::uint64_t Server : Item.Excluded)
    if (const core::BackendServer *Known = Entry->server(Server))
      Excluded.push_back(Known->Id);
  enqueue(Target, std::move(Added), std::move(Excluded), Item.CallerHash);
}

void DispatchService::onRelease(const LinkPtr &Source, const Release &Item) {
  const ClientPtr From = client(Source);
  if (Item.Group != 0) {
    const GroupState Target = findGroup(Item.Group);
    if (!Target)
      return;
    const std::lock_guard Lock(Target->Mutex);
    const core::BackendServer *Server = Target->Entry->server(Item.Server);
    if (Server == nullptr)
      return;
    decision::Decisions Out;
    Target->Dispatcher->releaseAdopted(From->Holder, Server->Id, Item.Report,
                                       Env.Time.now(), Out);
    apply(*Target, Out);
    return;
  }
  std::pair<GroupState, decision::CallToken> Found;
  {
    const std::lock_guard Lock(From->Mutex);
    const auto At = From->Calls.find(Item.Call);
    if (At == From->Calls.end())
      return;
    Found = At->second;
    From->Calls.erase(At);
  }
  Source->addWork(-1);
  end(Found.first, Found.second, Item.Report);
}

// A grant may have crossed the cancellation; it is returned either way.
void DispatchService::onCancel(const LinkPtr &Source, const Cancel &Item) {
  Release Ended{.Call = Item.Call, .Report = {}, .Group = 0, .Server = 0};
  Ended.Report.Outcome = core::CallOutcome::Cancelled;
  onRelease(Source, Ended);
}

void DispatchService::onInFlight(const LinkPtr &Source, const InFlight &Item) {
  const GroupPtr Entry = Env.Groups.current()->find(Item.Group);
  if (!Entry)
    return;
  const GroupState Target = group(Entry);
  const ClientPtr From = client(Source);
  {
    const std::lock_guard Lock(From->Mutex);
    if (From->Gone)
      return;
    From->Groups.insert(Target);
  }
  const std::lock_guard Lock(Target->Mutex);
  Target->LastUsed = Env.Time.now();
  for (const InFlight::Count &Count : Item.Servers)
    if (const core::BackendServer *Server = Entry->server(Count.Server))
      Target->Dispatcher->adopt(From->Holder, Server->Id, Count.Calls,
                                Env.Time.now());
}

void DispatchService::onClose(const LinkPtr &Source) {
  ClientPtr From;
  {
    const std::lock_guard Lock(Mutex);
    const auto Found = Clients.find(Source->number());
    if (Found == Clients.end())
      return;
    From = Found->second;
    Clients.erase(Found);
  }
  std::set<GroupState> Touched;
  {
    const std::lock_guard Lock(From->Mutex);
    From->Gone = true;
    Touched.swap(From->Groups);
    From->Calls.clear();
  }
  for (const GroupState &Target : Touched) {
    const std::lock_guard Lock(Target->Mutex);
    std::erase_if(Target->Calls,
                  [&](const auto &Item) { return Item.second.Asker == From; });
    decision::Decisions Out;
    Target->Dispatcher->dropHolder(From->Holder, Env.Time.now(), Out);
    apply(*Target, Out);
  }
}

} // namespace jujubecart::peers
