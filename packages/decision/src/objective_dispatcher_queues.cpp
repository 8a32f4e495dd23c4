#include <jujubecart/decision/internal/objective_dispatcher_implementation.hpp>

#include <algorithm>

namespace jujubecart::decision {

namespace {

using namespace std::chrono_literals;

constexpr auto MinRetryAfter = 50ms;
constexpr auto MaxRetryAfter = 5s;
constexpr double MaxJitter = 1.5;
// A late call must start at least this many expected service times before its
// deadline; otherwise it is rejected.
constexpr double LateReserveFactor = 2;

} // namespace

void ObjectiveDispatcher::Implementation::reject(const PendingCall &Call,
                                                 core::Error Reason,
                                                 core::TimePoint Now,
                                                 Decisions &Out) {
  const core::TimePoint Return =
      Returns.reserve(expectedLateWait(Now), Table.spareCallsPerS(Now), Now);
  // Other dispatchers of the service reserve times of their own; jitter keeps
  // their callers from returning at the same time.
  const double Jitter = std::uniform_real_distribution(1.0, MaxJitter)(Random);
  // The limit is applied before the jitter, or all callers of a group without
  // capacity would return at the same time.
  const auto Wait = std::clamp<std::chrono::duration<double, std::micro>>(
                        Return - Now, MinRetryAfter,
                        std::chrono::microseconds(MaxRetryAfter) / MaxJitter) *
                    Jitter;
  Out.emplace_back(Rejected{
      .Token = Call.Token,
      .Reason = Reason,
      .RetryAfter = std::chrono::duration_cast<std::chrono::milliseconds>(Wait),
      .Facts = queueFacts(Now)});
}

DecisionFacts
ObjectiveDispatcher::Implementation::queueFacts(core::TimePoint Now) const {
  return {.Waiting = OnTimeQueue.size(),
          .WaitingLate = LateQueue.size(),
          .SlotPricePercent = static_cast<std::uint32_t>(
              Table.slotPrice(Now) * internal::PercentPerUnit)};
}

std::chrono::microseconds ObjectiveDispatcher::Implementation::expectedLateWait(
    core::TimePoint Now) const {
  return Table.expectedWait(OnTimeQueue.size(), Now) +
         Table.expectedLateWait(LateQueue.size() + 1, Now);
}

core::TimePoint
ObjectiveDispatcher::Implementation::latestStart(const PendingCall &Call,
                                                 core::TimePoint Now) const {
  const auto Reserve = std::chrono::microseconds(static_cast<std::int64_t>(
      LateReserveFactor * Table.work().expectedServiceTimeUs(Call, Now)));
  return Call.Deadline - Reserve;
}

void ObjectiveDispatcher::Implementation::enqueue(PendingCall Call,
                                                  core::TimePoint Now,
                                                  Decisions &Out) {
  Table.recordLimits(Call.Limits, Now);
  if (OnTimeQueue.contains(Call.Token) || LateQueue.contains(Call.Token))
    return reject(Call, core::Error::InvalidArgument, Now, Out);
  if (Now >= Call.Deadline)
    return reject(Call, core::Error::DeadlineExceeded, Now, Out);
  if (!Table.anyServerFor(Call))
    return reject(Call, core::Error::Unavailable, Now, Out);
  Call.Objective = std::min(Call.Objective, Call.Deadline);
  Table.recordArrival(Call, Now);
  Shares.recordArrival(Call.Workspace, Now);
  const double ServiceUs = Table.work().expectedServiceTimeUs(Call, Now);
  OnTimeQueue.push(std::move(Call), Now, ServiceUs);
  dispatch(Now, Out);
}

void ObjectiveDispatcher::Implementation::enqueueLate(
    PendingCall Call, core::TimePoint ArrivalTime, core::TimePoint Now,
    Decisions &Out) {
  const auto Wait = expectedLateWait(Now);
  const double ServiceUs = Table.work().expectedServiceTimeUs(Call, Now);
  const bool Full = OnTimeQueue.size() + LateQueue.size() >= Options.MaxQueued;
  if (!Full && Now + Wait <= latestStart(Call, Now)) {
    LateQueue.push(std::move(Call), ArrivalTime, ServiceUs);
    return;
  }
  // The last call in the order of the shares is rejected in its place, if it
  // belongs to another workspace.
  if (Shares.active() && LateQueue.size() > 0) {
    const std::uint64_t Workspace = Call.Workspace;
    const CallToken Token = Call.Token;
    const bool InTime = Now < latestStart(Call, Now);
    if (InTime) {
      LateQueue.push(std::move(Call), ArrivalTime, ServiceUs);
      const CallToken Last = LateQueue.tokens(Shares, Now).back();
      if (LateQueue.at(Last).Workspace == Workspace)
        return reject(*LateQueue.remove(Token), core::Error::Overloaded, Now,
                      Out);
      return reject(*LateQueue.remove(Last), core::Error::Overloaded, Now, Out);
    }
  }
  reject(Call, core::Error::Overloaded, Now, Out);
}

void ObjectiveDispatcher::Implementation::demoteLateCalls(core::TimePoint Now,
                                                          Decisions &Out) {
  std::size_t Ahead = 0;
  for (const CallToken Token : OnTimeQueue.tokens(Shares, Now)) {
    const PendingCall &Call = OnTimeQueue.at(Token);
    if (Table.onTimeProbabilityAfterWait(Call, Ahead, Now) >=
        MinOnTimeProbability) {
      ++Ahead;
      continue;
    }
    const core::TimePoint ArrivalTime = OnTimeQueue.arrivalTime(Token);
    enqueueLate(*OnTimeQueue.remove(Token), ArrivalTime, Now, Out);
  }
  for (const CallToken Token : LateQueue.tokens())
    if (Now > latestStart(LateQueue.at(Token), Now))
      reject(*LateQueue.remove(Token), core::Error::Overloaded, Now, Out);
}

void ObjectiveDispatcher::Implementation::dropHolder(std::string_view Holder) {
  for (internal::ObjectiveQueue *Queue : {&OnTimeQueue, &LateQueue})
    for (const CallToken Token : Queue->tokens())
      if (Queue->at(Token).Holder == Holder)
        Queue->remove(Token);
  Grants.dropHolder(Holder, [&](std::uint32_t Server, std::uint64_t GrantId) {
    Table.removeCall(Server, GrantId);
  });
  for (const auto &Removed : Adopted.removeHolder(Holder))
    if (const auto Index = Table.find(Removed.ServerId))
      Table.at(*Index).Adopted -= Removed.Calls;
}

} // namespace jujubecart::decision
