#include "dispatch_state.hpp"
#include "timer.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <jujubecart/core/log.hpp>

namespace jujubecart::peers {

namespace asio = boost::asio;

namespace internal {

core::CallReport cancelled() {
  core::CallReport Report;
  Report.Outcome = core::CallOutcome::Cancelled;
  return Report;
}

// One line for each decision of a dispatcher that states what decided it.
void logDecision(const char *Event, const std::string &Group,
                 core::RequestId Request, const decision::DecisionFacts &Facts,
                 std::string_view Outcome) {
  core::LogLine Line(core::LogLevel::Info, Event);
  Line.field("request", toString(Request))
      .field("group", Group)
      .field("outcome", Outcome)
      .field("waiting", Facts.Waiting)
      .field("waiting_late", Facts.WaitingLate);
  if (Facts.PacePercent)
    Line.field("pace_percent", *Facts.PacePercent)
        .field("pace_age_ms", Facts.PaceAge.count());
  if (Facts.OnTimePercent > 0)
    Line.field("on_time_percent", Facts.OnTimePercent)
        .field("in_flight", Facts.InFlight);
}

} // namespace internal

DispatchService::DispatchService(const asio::any_io_executor &Executor,
                                 const Environment &Surroundings)
    : Executor(Executor), Env(Surroundings),
      Timer(internal::makeSerialTimer(Executor)) {
  Env.Groups.subscribe([this](const auto &Index) { configure(Index); });
}

// Groups refer to the clients of their calls and clients to their groups.
DispatchService::~DispatchService() {
  for (const auto &[Hash, Target] : Groups)
    Target->Calls.clear();
  for (const auto &[Number, Asker] : Clients) {
    Asker->Calls.clear();
    Asker->Groups.clear();
  }
}

DispatchService::GroupState DispatchService::group(const GroupPtr &Entry) {
  const std::lock_guard Lock(Mutex);
  GroupState &Found = Groups[Entry->Hash];
  if (!Found)
    Found = std::make_shared<Group>(Entry, Env.Time.now());
  return Found;
}

DispatchService::GroupState
DispatchService::findGroup(std::uint64_t Hash) const {
  const std::lock_guard Lock(Mutex);
  const auto Found = Groups.find(Hash);
  return Found == Groups.end() ? nullptr : Found->second;
}

void DispatchService::submit(const GroupPtr &Group, DispatchCall Call,
                             Reply Then) {
  DispatchService::Call Item;
  Item.Token = Call.Token;
  Item.Request = Call.Request;
  Item.Deadline = Call.Deadline;
  Item.Priority = Call.Priority;
  Item.Key = Call.Key;
  Item.Objective = Call.Objective;
  Item.WorkClass = Call.WorkClass;
  Item.Then = std::move(Then);
  enqueue(group(Group), std::move(Item), std::move(Call.Excluded),
          Call.CallerHash);
}

// The claim of an order key runs while the call waits for a slot; the grant is
// delivered after both.
void DispatchService::enqueue(const GroupState &Target, Call Item,
                              std::vector<std::string> Excluded,
                              std::uint64_t CallerHash) {
  const auto Key = Item.Key;
  const core::RequestId Request = Item.Request;
  const core::TimePoint Deadline = Item.Deadline;
  const decision::CallToken Token = Item.Token;
  Item.Claimed = !Key;
  if (Item.Asker)
    ++Item.Asker->Waiting;
  decision::PendingCall Pending{
      .Token = Token,
      .Holder = Item.Asker ? Item.Asker->Holder : Env.Members.self().Id,
      .Deadline = Deadline,
      .Priority = Item.Priority,
      .CallerHash = CallerHash,
      .Excluded = std::move(Excluded),
      .Zone = Item.Asker ? Item.Asker->Zone : Env.Members.self().Zone,
      .Objective = Item.Objective,
      .WorkClass = Item.WorkClass};
  bool Waits = false;
  {
    const std::lock_guard Lock(Target->Mutex);
    Target->LastUsed = Env.Time.now();
    Target->Calls.emplace(Token, std::move(Item));
    decision::Decisions Out;
    Target->Dispatcher->enqueue(std::move(Pending), Env.Time.now(), Out);
    apply(*Target, Out);
    const auto Found = Target->Calls.find(Token);
    Waits = Found != Target->Calls.end() && !Found->second.Answered;
  }
  startProbes(Target);
  if (!Waits)
    return;
  Env.Events.record(
      {.Kind = "dispatch.queued", .Request = Request, .Detail = Target->Name});
  wake();
  if (Key)
    asio::co_spawn(Executor, claim(Target, Token, *Key, Request, Deadline),
                   asio::detached);
}

core::Awaitable<void> DispatchService::claim(GroupState Target,
                                             decision::CallToken Token,
                                             core::OrderKey Key,
                                             core::RequestId Request,
                                             core::TimePoint Deadline) {
  const std::pair Id{Key, Request};
  {
    const std::lock_guard Lock(ClaimMutex);
    ++Flights[Id].Running;
  }
  const std::string Service = Target->Service;
  const core::Result<void> Outcome =
      co_await Env.Claims.claim(Service, Key, Request, Deadline);
  bool Release = false;
  {
    const std::lock_guard Lock(ClaimMutex);
    ClaimFlight &Flight = Flights[Id];
    if (--Flight.Running == 0) {
      Release = Flight.ReleaseAfter;
      Flights.erase(Id);
    }
  }
  if (Release)
    Env.Claims.release(Service, Key, Request);
  onClaimed(Target, Token, Outcome);
}

void DispatchService::onClaimed(const GroupState &Target,
                                decision::CallToken Token,
                                const core::Result<void> &Outcome) {
  const std::lock_guard Lock(Target->Mutex);
  const auto Found = Target->Calls.find(Token);
  // The claim stays if the call was withdrawn: its request may ask elsewhere.
  if (Found == Target->Calls.end())
    return;
  Call &Item = Found->second;
  if (Outcome) {
    Item.Claimed = true;
    if (Item.Held)
      grant(*Target, Item, *Item.Held);
    return;
  }
  decision::Decisions Out;
  if (Item.Held)
    Target->Dispatcher->release(Item.Held->GrantId, internal::cancelled(),
                                Env.Time.now(), Out);
  else
    Target->Dispatcher->withdraw(Token, Env.Time.now(), Out);
  const bool Own = Outcome.error().category() == core::errorCategory();
  refuse(*Target, Token,
         Own ? static_cast<core::Error>(Outcome.error().value())
             : core::Error::Unavailable,
         std::chrono::milliseconds(0));
  apply(*Target, Out);
}

void DispatchService::releaseClaim(const std::string &Service,
                                   core::OrderKey Key,
                                   core::RequestId Request) {
  {
    const std::lock_guard Lock(ClaimMutex);
    const auto Found = Flights.find({Key, Request});
    if (Found != Flights.end()) {
      Found->second.ReleaseAfter = true;
      return;
    }
  }
  Env.Claims.release(Service, Key, Request);
}

void DispatchService::apply(Group &Target, const decision::Decisions &Out) {
  for (const decision::Decision &Item : Out) {
    if (const auto *Given = std::get_if<decision::Granted>(&Item)) {
      const auto Found = Target.Calls.find(Given->Token);
      if (Found == Target.Calls.end())
        continue;
      if (Found->second.Claimed)
        grant(Target, Found->second, *Given);
      else
        Found->second.Held = *Given;
    } else {
      const auto &Failed = std::get<decision::Rejected>(Item);
      const auto Found = Target.Calls.find(Failed.Token);
      if (Failed.Facts && Found != Target.Calls.end())
        internal::logDecision("dispatch.refused", Target.Name,
                              Found->second.Request, *Failed.Facts,
                              core::make_error_code(Failed.Reason).message());
      refuse(Target, Failed.Token, Failed.Reason, Failed.RetryAfter);
    }
  }
}

void DispatchService::grant(Group &Target, Call &Item,
                            const decision::Granted &Given) {
  Item.GrantId = Given.GrantId;
  Item.Answered = true;
  ++Env.Links.counters().Grants;
  if (Given.Facts)
    internal::logDecision("dispatch.granted", Target.Name, Item.Request,
                          *Given.Facts, Given.Server.Id);
  Env.Events.record(
      {.Kind = "dispatch.granted",
       .Request = Item.Request,
       .Server = Given.Server.Id,
       .Peer = Item.Asker ? Item.Asker->Io->peer().Sender : std::string(),
       .Detail = Target.Entry->Group.Name});
  if (!Item.Asker) {
    Item.Then({.Server = Given.Server});
    return;
  }
  --Item.Asker->Waiting;
  Grant Message{
      .Call = Item.Remote, .Server = core::hash64(Given.Server.Id), .Full = {}};
  if (Item.Revision < Target.Entry->Changed)
    Message.Full = Given.Server;
  Item.Asker->Io->send(Message);
}

void DispatchService::refuse(Group &Target, decision::CallToken Token,
                             core::Error Reason,
                             std::chrono::milliseconds RetryAfter) {
  const auto Found = Target.Calls.find(Token);
  if (Found == Target.Calls.end())
    return;
  const Call Item = std::move(Found->second);
  Target.Calls.erase(Found);
  if (!Item.Asker) {
    Item.Then(
        {.Server = std::nullopt, .Reason = Reason, .RetryAfter = RetryAfter});
    return;
  }
  --Item.Asker->Waiting;
  Item.Asker->Io->addWork(-1);
  {
    const std::lock_guard Lock(Item.Asker->Mutex);
    Item.Asker->Calls.erase(Item.Remote);
  }
  Item.Asker->Io->send(
      Refuse{.Call = Item.Remote,
             .Reason = Reason,
             .RetryAfterMs = static_cast<std::uint32_t>(RetryAfter.count())});
}

// Ends a call in whatever state it is.
void DispatchService::end(const GroupState &Target, decision::CallToken Token,
                          const core::CallReport &Report) {
  {
    const std::lock_guard Lock(Target->Mutex);
    const auto Found = Target->Calls.find(Token);
    if (Found == Target->Calls.end())
      return;
    const Call Item = std::move(Found->second);
    Target->Calls.erase(Found);
    decision::Decisions Out;
    const core::TimePoint Now = Env.Time.now();
    if (Item.Answered)
      Target->Dispatcher->release(Item.GrantId, Report, Now, Out);
    else if (Item.Held)
      Target->Dispatcher->release(Item.Held->GrantId, internal::cancelled(),
                                  Now, Out);
    else
      Target->Dispatcher->withdraw(Token, Now, Out);
    if (Item.Asker && !Item.Answered)
      --Item.Asker->Waiting;
    apply(*Target, Out);
  }
  startProbes(Target);
}

void DispatchService::withdraw(std::uint64_t Group, decision::CallToken Token) {
  release(Group, Token, internal::cancelled());
}

void DispatchService::release(std::uint64_t Group, decision::CallToken Token,
                              const core::CallReport &Report) {
  if (const GroupState Target = findGroup(Group))
    end(Target, Token, Report);
}

void DispatchService::adopt(const GroupPtr &Group, const std::string &ServerId,
                            std::uint32_t Calls) {
  const GroupState Target = group(Group);
  const std::lock_guard Lock(Target->Mutex);
  Target->LastUsed = Env.Time.now();
  Target->Dispatcher->adopt(Env.Members.self().Id, ServerId, Calls,
                            Env.Time.now());
}

void DispatchService::releaseAdopted(std::uint64_t Group,
                                     const std::string &ServerId,
                                     const core::CallReport &Report) {
  const GroupState Target = findGroup(Group);
  if (!Target)
    return;
  const std::lock_guard Lock(Target->Mutex);
  decision::Decisions Out;
  Target->Dispatcher->releaseAdopted(Env.Members.self().Id, ServerId, Report,
                                     Env.Time.now(), Out);
  apply(*Target, Out);
}

void DispatchService::configure(const GroupDirectory::Index &Index) {
  std::vector<GroupState> Known;
  {
    const std::lock_guard Lock(Mutex);
    for (const auto &[Hash, Item] : Groups)
      Known.push_back(Item);
  }
  for (const GroupState &Target : Known) {
    const std::lock_guard Lock(Target->Mutex);
    GroupPtr Entry = Index->find(Target->Entry->Hash);
    if (!Entry) {
      auto Empty = std::make_shared<GroupEntry>(*Target->Entry);
      Empty->Group.Servers.clear();
      Empty->ServerIndex.clear();
      Entry = std::move(Empty);
    }
    Target->Entry = Entry;
    decision::Decisions Out;
    Target->Dispatcher->configure(Entry->Group, Env.Time.now(), Out);
    apply(*Target, Out);
  }
}

std::map<std::string, std::vector<decision::ServerStatus>>
DispatchService::status() const {
  std::vector<GroupState> Known;
  {
    const std::lock_guard Lock(Mutex);
    for (const auto &[Hash, Item] : Groups)
      Known.push_back(Item);
  }
  std::map<std::string, std::vector<decision::ServerStatus>> Result;
  for (const GroupState &Target : Known) {
    const std::lock_guard Lock(Target->Mutex);
    if (Target->Ranked || !Target->Calls.empty())
      Result.emplace(Target->Entry->Group.Name,
                     Target->Dispatcher->status(Env.Time.now()));
  }
  return Result;
}

} // namespace jujubecart::peers
