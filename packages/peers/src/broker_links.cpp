#include "broker_state.hpp"
#include "timer.hpp"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <jujubecart/decision/rendezvous.hpp>
#include <map>

namespace jujubecart::peers {

namespace asio = boost::asio;

namespace internal {

bool anyLeft(const GroupEntry &Entry,
             const std::vector<std::string> &Excluded) {
  return std::any_of(Entry.Group.Servers.begin(), Entry.Group.Servers.end(),
                     [&](const core::BackendServer &Server) {
                       return Server.State == core::ServerState::Active &&
                              std::find(Excluded.begin(), Excluded.end(),
                                        Server.Id) == Excluded.end();
                     });
}

} // namespace internal

// A dial that takes longer than the patience of a call goes on for later calls.
core::Awaitable<LinkPtr> RemoteBroker::reach(std::string Vm,
                                             std::string Address) {
  if (LinkPtr Open = Env.Links.find(Vm))
    co_return Open;
  if (Address.empty())
    co_return nullptr;
  const auto Result = std::make_shared<internal::OneShot<LinkPtr>>();
  asio::steady_timer Patience(Executor, Env.Links.options().DialPatience);
  Patience.async_wait(
      [Result](const boost::system::error_code &) { Result->set(nullptr); });
  asio::co_spawn(Executor, Env.Links.connect(std::move(Vm), std::move(Address)),
                 [Result](const std::exception_ptr &, LinkPtr Io) {
                   Result->set(std::move(Io));
                 });
  co_return co_await Result->wait();
}

void RemoteBroker::onFrame(const LinkPtr &Source, const Frame &Item) {
  if (const auto *Given = std::get_if<Grant>(&Item.Body)) {
    onGrant(Source, *Given);
  } else if (const auto *Failed = std::get_if<Refuse>(&Item.Body)) {
    finish(Failed->Call,
           {.Outcome = Answer::Kind::Refused,
            .Reason = Failed->Reason,
            .Grant = {},
            .RetryAfter = std::chrono::milliseconds(Failed->RetryAfterMs)});
  }
}

void RemoteBroker::onGrant(const LinkPtr &Source, const Grant &Item) {
  std::optional<core::BackendServer> Server = Item.Full;
  GroupPtr Entry;
  {
    const std::lock_guard Lock(Mutex);
    const auto Found = Waiting.find(Item.Call);
    if (Found != Waiting.end() && Found->second.Io == Source)
      Entry = Found->second.Entry;
  }
  if (Entry) {
    const GroupPtr Current = Env.Groups.current()->find(Entry->Hash);
    const core::BackendServer *Known =
        Current ? Current->server(Item.Server) : nullptr;
    if (!Server && Known != nullptr)
      Server = *Known;
    // What this VM knows to be leaving must not get a call from it, even if
    // the dispatcher has not heard of it yet.
    if (Known != nullptr && Known->State == core::ServerState::Draining)
      Server.reset();
    if (Known == nullptr && Env.Links.options().AskNextDispatcher)
      Server.reset();
  }
  // The call was given up, or its server is no longer configured here.
  if (!Entry || !Server) {
    Source->send(Cancel{.Call = Item.Call});
    if (Entry)
      finish(Item.Call, {.Outcome = Answer::Kind::Refused,
                         .Reason = core::Error::NotReady,
                         .Grant = {}});
    return;
  }
  Source->addWork(1);
  finish(Item.Call, {.Outcome = Answer::Kind::Granted,
                     .Reason = {},
                     .Grant = hold({.Entry = Entry,
                                    .Server = Server->Id,
                                    .Io = Source,
                                    .Call = Item.Call},
                                   {.Id = 0,
                                    .Group = Entry->Group.Name,
                                    .Dispatcher = Source->peer().Sender,
                                    .Server = *Server})});
}

void RemoteBroker::finish(CallId Call, Answer Outcome) {
  Wait Reply;
  const std::uint64_t Granted = Outcome.Grant.Id;
  {
    const std::lock_guard Lock(Mutex);
    const auto Found = Waiting.find(Call);
    if (Found != Waiting.end()) {
      Reply = Found->second.Reply;
      if (Found->second.Io)
        Found->second.Io->askEnded(Outcome.Outcome == Answer::Kind::Silent);
      const auto [Begin, End] =
          ByRequest.equal_range(Found->second.Request.Value);
      for (auto At = Begin; At != End; ++At)
        if (At->second == Call) {
          ByRequest.erase(At);
          break;
        }
      Waiting.erase(Found);
    }
  }
  if (Reply && Reply->set(Outcome))
    return;
  // The call was given up while its grant was on the way. The caller may hold
  // the mutex of the group, which release() takes.
  if (Granted != 0)
    asio::post(Executor, [this, Grant = std::move(Outcome.Grant)] {
      core::CallReport Report;
      Report.Outcome = core::CallOutcome::Cancelled;
      release(Grant, Report);
    });
}

void RemoteBroker::cancel(core::RequestId Request) noexcept {
  std::vector<std::pair<CallId, Pending>> Ended;
  {
    const std::lock_guard Lock(Mutex);
    const auto [Begin, End] = ByRequest.equal_range(Request.Value);
    for (auto At = Begin; At != End; ++At)
      Ended.emplace_back(At->second, Waiting.at(At->second));
  }
  for (const auto &[Call, Entry] : Ended) {
    finish(Call, {.Outcome = Answer::Kind::Refused,
                  .Reason = core::Error::Cancelled,
                  .Grant = {}});
    if (Entry.Io)
      Entry.Io->send(Cancel{.Call = Call});
    else
      Env.Dispatch.withdraw(Entry.Entry->Hash, Entry.Token);
  }
}

void RemoteBroker::onClose(const LinkPtr &Source) {
  std::vector<CallId> Lost;
  {
    const std::lock_guard Lock(Mutex);
    for (const auto &[Call, Entry] : Waiting)
      if (Entry.Io == Source)
        Lost.push_back(Call);
    for (auto &[Id, Item] : Grants) {
      if (Item.Io == Source)
        Item.Io = nullptr;
      if (Item.AdoptedBy == Source)
        Item.AdoptedBy = nullptr;
    }
    std::erase_if(Introduced, [&](const auto &Item) {
      return Item.first == Source->number();
    });
  }
  for (const CallId Call : Lost)
    finish(Call, {});
}

// Reports calls in flight that no dispatcher knows of, before the first call
// to a new dispatcher.
void RemoteBroker::introduce(const GroupPtr &Entry, const LinkPtr &Dispatcher) {
  std::map<std::string, std::uint32_t> Counts;
  {
    const std::lock_guard Lock(Mutex);
    if (!Introduced.emplace(Dispatcher ? Dispatcher->number() : 0, Entry->Hash)
             .second)
      return;
    for (auto &[Id, Item] : Grants) {
      if (!Item.Entry || Item.Entry->Hash != Entry->Hash || !Item.orphan())
        continue;
      ++Counts[Item.Server];
      Item.AdoptedBy = Dispatcher;
      Item.AdoptedHere = !Dispatcher;
    }
  }
  if (Counts.empty())
    return;
  InFlight Message{.Group = Entry->Hash, .Servers = {}};
  for (const auto &[Server, Calls] : Counts) {
    if (!Dispatcher)
      Env.Dispatch.adopt(Entry, Server, Calls);
    Message.Servers.push_back({.Server = core::hash64(Server), .Calls = Calls});
  }
  if (Dispatcher)
    Dispatcher->send(Message);
}

RemoteBroker::View RemoteBroker::view() {
  const std::uint64_t Version = Env.Members.version();
  const std::lock_guard Lock(Mutex);
  if (CurrentView && CurrentView->Version == Version)
    return CurrentView;
  auto Fresh = std::make_shared<MemberView>();
  Fresh->Version = Version;
  const core::Member Self = Env.Members.self();
  Fresh->Self = Self.Id;
  Fresh->Region = Self.Region;
  Fresh->Members = Env.Members.members();
  for (const core::Member &Item : Fresh->Members)
    Fresh->Addresses.emplace(Item.Id, Item.Address);
  CurrentView = Fresh;
  return Fresh;
}

RemoteBroker::Ranking RemoteBroker::rank(const GroupEntry &Entry) {
  const View Current = view();
  const std::lock_guard Lock(Current->Mutex);
  Ranking &Found = Current->Rankings[Entry.Hash];
  if (!Found)
    Found = std::make_shared<std::vector<std::string>>(decision::rankMembers(
        Entry.Group.Name, Entry.Group.Region, Current->Members));
  return Found;
}

// Groups of the own region first, chosen at random by their capacity.
GroupPtr RemoteBroker::choose(const core::SlotRequest &Request) {
  const GroupDirectory::Index Index = Env.Groups.current();
  const auto Found = Index->ByService.find(Request.Service);
  if (Found == Index->ByService.end())
    return nullptr;
  const std::string Region = view()->Region;
  for (const bool Own : {true, false}) {
    std::vector<const GroupPtr *> Usable;
    std::uint64_t Total = 0;
    for (const GroupPtr &Entry : Found->second)
      if ((Entry->Group.Region == Region) == Own &&
          internal::anyLeft(*Entry, Request.Excluded)) {
        Usable.push_back(&Entry);
        Total += Entry->Capacity;
      }
    if (Usable.empty())
      continue;
    std::uint64_t At = 0;
    {
      const std::lock_guard Lock(Mutex);
      At = std::uniform_int_distribution<std::uint64_t>(0, Total - 1)(Random);
    }
    for (const GroupPtr *Entry : Usable) {
      if (At < (*Entry)->Capacity)
        return *Entry;
      At -= (*Entry)->Capacity;
    }
  }
  // Every server is excluded or draining: the dispatcher refuses.
  return Found->second.front();
}

bool RemoteBroker::suspected(const std::string &Vm) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Suspects.find(Vm);
  if (Found == Suspects.end())
    return false;
  if (Env.Time.now() < Found->second)
    return true;
  Suspects.erase(Found);
  return false;
}

void RemoteBroker::suspect(const std::string &Vm) {
  const std::lock_guard Lock(Mutex);
  if (Suspects
          .insert_or_assign(Vm, Env.Time.now() + Env.Links.options().SuspectFor)
          .second)
    ++Env.Links.counters().DispatchersSuspected;
}

void RemoteBroker::start() {
  asio::co_spawn(Timer.get_executor(), watch(), asio::detached);
}

void RemoteBroker::stop() {
  Stopped = true;
  internal::cancelLater(Timer);
  std::vector<CallId> Left;
  {
    const std::lock_guard Lock(Mutex);
    for (const auto &[Call, Entry] : Waiting)
      Left.push_back(Call);
  }
  for (const CallId Call : Left)
    finish(Call, {.Outcome = Answer::Kind::Refused,
                  .Reason = core::Error::Cancelled,
                  .Grant = {}});
}

void RemoteBroker::wake() {
  if (Sleeping.exchange(false))
    internal::cancelLater(Timer);
}

core::Awaitable<void> RemoteBroker::watch() {
  const auto Short = Env.Links.options().SilenceLimit / 5;
  core::TimePoint Resumed = Env.Time.now();
  while (!Stopped) {
    Sleeping = true;
    const core::TimePoint Due =
        Env.Time.now() +
        (checkSilence(Resumed) ? Short : std::chrono::milliseconds(100));
    Timer.expires_at(Due);
    co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
    // After a pause of this process the dispatchers' frames are still unread.
    if (Env.Time.now() > Due + 2 * Short)
      Resumed = Env.Time.now();
  }
}

// Gives up calls whose dispatcher is silent or whose deadline has passed.
bool RemoteBroker::checkSilence(core::TimePoint Resumed) {
  constexpr std::chrono::milliseconds Grace{10};
  const core::TimePoint Now = Env.Time.now();
  std::vector<std::pair<CallId, Pending>> Silent;
  std::vector<std::pair<CallId, Pending>> Late;
  bool Any = false;
  {
    const std::lock_guard Lock(Mutex);
    for (const auto &[Call, Entry] : Waiting) {
      Any = true;
      if (Now > Entry.Deadline + Grace)
        Late.emplace_back(Call, Entry);
      else if (Entry.Io && Now - std::max({Entry.Io->lastReceived(),
                                           Entry.SentAt, Resumed}) >
                               Env.Links.options().SilenceLimit)
        Silent.emplace_back(Call, Entry);
    }
  }
  for (const auto &[Call, Entry] : Silent) {
    finish(Call, {.Outcome = Answer::Kind::Silent, .Reason = {}, .Grant = {}});
    Entry.Io->send(Cancel{.Call = Call});
  }
  for (const auto &[Call, Entry] : Late) {
    finish(Call, {.Outcome = Answer::Kind::Refused,
                  .Reason = core::Error::DeadlineExceeded,
                  .Grant = {}});
    if (Entry.Io)
      Entry.Io->send(Cancel{.Call = Call});
    else
      Env.Dispatch.withdraw(Entry.Entry->Hash, Entry.Token);
  }
  return Any;
}

} // namespace jujubecart::peers
