#include "broker_state.hpp"
#include "timer.hpp"

#include <algorithm>
#include <boost/asio/strand.hpp>

namespace jujubecart::peers {

namespace asio = boost::asio;

namespace internal {

// Orders ask at most this many other VMs before this one decides.
constexpr std::size_t MaxDispatchers = 3;
constexpr std::size_t MaxClaimed = 8192;

std::uint32_t millisecondsLeft(core::TimePoint Now, core::TimePoint Until) {
  const auto Left =
      std::chrono::floor<std::chrono::milliseconds>(Until - Now).count();
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(Left, 0, UINT32_MAX - 1));
}

} // namespace internal

RemoteBroker::RemoteBroker(const asio::any_io_executor &Executor,
                           const Environment &Surroundings)
    : Executor(Executor), Env(Surroundings),
      Timer(internal::makeSerialTimer(Executor)),
      Random(static_cast<std::uint32_t>(Env.Links.options().Seed) + 1) {}

RemoteBroker::~RemoteBroker() = default;

core::Awaitable<core::Result<core::SlotGrant>>
RemoteBroker::acquire(core::SlotRequest Request) {
  GroupPtr Entry = choose(Request);
  if (!Entry)
    co_return core::make_error_code(core::Error::NotFound);
  if (Env.Time.now() >= Request.Deadline)
    co_return core::make_error_code(core::Error::DeadlineExceeded);
  if (!Request.Key)
    co_return co_await acquireFrom(std::move(Entry), std::move(Request));
  core::Result<core::SlotGrant> Outcome =
      co_await acquireFrom(std::move(Entry), Request);
  if (!Outcome)
    endOrder(Request, Outcome.error());
  co_return Outcome;
}

// After an error nothing is held, the claim included, unless another request
// holds it.
void RemoteBroker::endOrder(const core::SlotRequest &Request,
                            std::error_code Why) {
  if (Why != core::Error::OrderRepeated)
    releaseClaim(Request.Service, *Request.Key, Request.Request);
}

core::Awaitable<core::Result<core::SlotGrant>>
RemoteBroker::acquireFrom(GroupPtr Entry, core::SlotRequest Request) {
  using Kind = Answer::Kind;
  const Ranking Order = rank(*Entry);
  const std::string Self = view()->Self;
  std::size_t Asked = 0;
  for (const std::string &Vm : *Order) {
    if (Vm == Self || Asked == internal::MaxDispatchers)
      break;
    if (suspected(Vm))
      continue;
    ++Asked;
    Answer Outcome = co_await ask(Entry, Vm, Request);
    if (Outcome.Outcome == Kind::Granted)
      co_return std::move(Outcome.Grant);
    if (Outcome.Outcome == Kind::Refused) {
      if (Outcome.Reason != core::Error::NotReady)
        co_return refused(Request, Outcome);
      continue;
    }
    suspect(Vm);
    // An order must not run without its claim, so it asks the next dispatcher.
    if (!Request.Key && !Env.Links.options().AskNextDispatcher)
      co_return fallBack(*Entry, Request, Vm,
                         Outcome.Outcome == Kind::Silent ? "silent"
                                                         : "unreachable");
  }
  Answer Outcome = co_await askLocal(Entry, Request);
  if (Outcome.Outcome == Kind::Granted)
    co_return std::move(Outcome.Grant);
  co_return refused(Request, Outcome);
}

std::error_code RemoteBroker::refused(const core::SlotRequest &Request,
                                      const Answer &Why) const {
  if (Request.Advice && Why.RetryAfter.count() > 0)
    Request.Advice->RetryAt = Env.Time.now() + Why.RetryAfter;
  return core::make_error_code(Why.Reason);
}

core::Awaitable<RemoteBroker::Answer>
RemoteBroker::askLocal(GroupPtr Entry, core::SlotRequest Request) {
  introduce(Entry, nullptr);
  const auto Reply = std::make_shared<internal::OneShot<Answer>>();
  const decision::CallToken Token = Env.Dispatch.newToken();
  const CallId Call = ++Calls;
  {
    const std::lock_guard Lock(Mutex);
    Waiting.emplace(Call, Pending{.Reply = Reply,
                                  .Entry = Entry,
                                  .Request = Request.Request,
                                  .SentAt = Env.Time.now(),
                                  .Deadline = Request.Deadline,
                                  .Io = nullptr,
                                  .Token = Token});
    ByRequest.emplace(Request.Request.Value, Call);
    if (Request.Key)
      Claimed.erase(Request.Request.Value);
  }
  const core::RequestId Id = Request.Request;
  Env.Dispatch.submit(Entry,
                      {.Token = Token,
                       .Request = Id,
                       .Deadline = Request.Deadline,
                       .Priority = Request.Priority,
                       .CallerHash = Request.CallerHash,
                       .Key = Request.Key,
                       .Excluded = std::move(Request.Excluded),
                       .Objective = Request.Objective,
                       .WorkClass = Request.WorkClass},
                      [this, Call, Entry, Token](const DispatchAnswer &Given) {
                        Answer Outcome{.Outcome = Answer::Kind::Refused,
                                       .Reason = Given.Reason,
                                       .Grant = {},
                                       .RetryAfter = Given.RetryAfter};
                        if (Given.Server) {
                          Outcome.Outcome = Answer::Kind::Granted;
                          Outcome.Grant = hold({.Entry = Entry,
                                                .Server = Given.Server->Id,
                                                .Io = nullptr,
                                                .Call = 0,
                                                .Token = Token},
                                               {.Id = 0,
                                                .Group = Entry->Group.Name,
                                                .Dispatcher = view()->Self,
                                                .Server = *Given.Server});
                        }
                        finish(Call, std::move(Outcome));
                      });
  wake();
  co_return co_await Reply->wait();
}

core::Awaitable<RemoteBroker::Answer>
RemoteBroker::ask(GroupPtr Entry, std::string Vm, core::SlotRequest Request) {
  std::string Address;
  {
    const View Current = view();
    if (const auto Found = Current->Addresses.find(Vm);
        Found != Current->Addresses.end())
      Address = Found->second;
  }
  const LinkPtr Io = co_await reach(Vm, std::move(Address));
  if (!Io)
    co_return Answer{};
  introduce(Entry, Io);
  const auto Reply = std::make_shared<internal::OneShot<Answer>>();
  const CallId Call = ++Calls;
  Acquire Message{
      .Call = Call,
      .Group = Entry->Hash,
      .LeftMs = internal::millisecondsLeft(Env.Time.now(), Request.Deadline),
      .Request = Request.Request,
      .CallerHash = Request.CallerHash,
      .Revision = Env.Groups.current()->Revision,
      .Priority = Request.Priority,
      .Key = Request.Key,
      .Excluded = {},
      .WorkClass = Request.WorkClass};
  if (Request.Objective != core::TimePoint::max())
    Message.ObjectiveLeftMs =
        internal::millisecondsLeft(Env.Time.now(), Request.Objective);
  for (const std::string &Server : Request.Excluded)
    Message.Excluded.push_back(core::hash64(Server));
  {
    const std::lock_guard Lock(Mutex);
    Waiting.emplace(Call, Pending{.Reply = Reply,
                                  .Entry = Entry,
                                  .Request = Request.Request,
                                  .SentAt = Env.Time.now(),
                                  .Deadline = Request.Deadline,
                                  .Io = Io,
                                  .Token = 0});
    ByRequest.emplace(Request.Request.Value, Call);
    if (Request.Key &&
        Claimed.insert_or_assign(Request.Request.Value, Vm).second) {
      ClaimedOrder.push_back(Request.Request.Value);
      if (ClaimedOrder.size() > internal::MaxClaimed) {
        Claimed.erase(ClaimedOrder.front());
        ClaimedOrder.pop_front();
      }
    }
  }
  Io->askStarted();
  // The link may have closed before the call was entered above.
  if (!Io->send(Message) || Io->closed())
    finish(Call, {});
  else
    wake();
  co_return co_await Reply->wait();
}

core::Result<core::SlotGrant>
RemoteBroker::fallBack(const GroupEntry &Entry,
                       const core::SlotRequest &Request,
                       std::string_view Dispatcher, std::string_view Why) {
  ++Env.Links.counters().Fallbacks;
  Env.Events.record({.Kind = "dispatch.fallback",
                     .Request = Request.Request,
                     .Peer = std::string(Dispatcher),
                     .Detail = Entry.Group.Name + ": " + std::string(Why)});
  auto Grant = Env.Fallback.acquireNow(Request);
  if (!Grant)
    return Grant;
  const GroupDirectory::Index Index = Env.Groups.current();
  const std::uint64_t Server = core::hash64(Grant->Server.Id);
  Held Item{.Entry = Index->find(Entry.Hash),
            .Server = Grant->Server.Id,
            .Io = nullptr,
            .Call = 0,
            .Token = 0,
            .Local = *Grant};
  // The fallback chooses among all servers of the service.
  if (const auto Groups = Index->ByService.find(Request.Service);
      Groups != Index->ByService.end())
    for (const GroupPtr &Group : Groups->second)
      if (Group->server(Server) != nullptr)
        Item.Entry = Group;
  return hold(std::move(Item), *Grant);
}

core::SlotGrant RemoteBroker::hold(Held Item, core::SlotGrant Grant) {
  const std::lock_guard Lock(Mutex);
  Grant.Id = ++NextGrant;
  Grants.emplace(Grant.Id, std::move(Item));
  return Grant;
}

void RemoteBroker::release(const core::SlotGrant &Grant,
                           const core::CallReport &Report) noexcept {
  Held Item;
  {
    const std::lock_guard Lock(Mutex);
    const auto Found = Grants.find(Grant.Id);
    if (Found == Grants.end())
      return;
    Item = std::move(Found->second);
    Grants.erase(Found);
  }
  if (Item.Local)
    Env.Fallback.release(*Item.Local, Report);
  if (Item.Io) {
    Item.Io->addWork(-1);
    Item.Io->send(
        Release{.Call = Item.Call, .Report = Report, .Group = 0, .Server = 0});
  } else if (Item.Token != 0) {
    Env.Dispatch.release(Item.Entry->Hash, Item.Token, Report);
  } else if (Item.AdoptedBy) {
    Item.AdoptedBy->send(Release{.Call = 0,
                                 .Report = Report,
                                 .Group = Item.Entry->Hash,
                                 .Server = core::hash64(Item.Server)});
  } else if (Item.AdoptedHere) {
    Env.Dispatch.releaseAdopted(Item.Entry->Hash, Item.Server, Report);
  }
}

void RemoteBroker::releaseClaim(const std::string &Service, core::OrderKey Key,
                                core::RequestId Request) noexcept {
  std::string Vm;
  {
    const std::lock_guard Lock(Mutex);
    const auto Found = Claimed.find(Request.Value);
    if (Found != Claimed.end()) {
      Vm = Found->second;
      Claimed.erase(Found);
    }
  }
  const LinkPtr Io = Vm.empty() ? nullptr : Env.Links.find(Vm);
  if (!Io || !Io->send(ClaimRelease{
                 .Service = Service, .Key = Key, .Request = Request}))
    Env.Dispatch.releaseClaim(Service, Key, Request);
}

} // namespace jujubecart::peers
