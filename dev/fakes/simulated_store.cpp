#include "fakes/simulated_store.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace jujubecart::dev {

using core::Error;
using core::make_error_code;

namespace {

// Limits of the simulated delays: of a message in one direction, of a suspended
// client and of a delayed write.
constexpr std::uint64_t MaxDelayMs = 4;
constexpr std::uint64_t MaxPauseMs = 10000;
constexpr std::uint64_t MaxWriteDelayMs = 3000;
constexpr std::uint64_t WatchPollMs = 50;

} // namespace

core::Awaitable<void> SimulatedClient::beginOperation() {
  ++Store.Operations;
  if (OperationsLeft != UINT64_MAX && OperationsLeft-- == 0)
    Dead = true;
  if (Dead)
    co_await Store.Run.suspendForever();
  co_await Store.Run.sleepFor(Store.Run.below(MaxDelayMs));
}

core::Awaitable<void> SimulatedClient::endOperation() {
  co_await Store.Run.sleepFor(Store.Run.below(MaxDelayMs));
  if (Store.Run.chance(Store.Faults.Pause))
    co_await Store.Run.sleepFor(Store.Run.below(MaxPauseMs));
  if (OperationsLeft == 0)
    Dead = true;
  if (Dead)
    co_await Store.Run.suspendForever();
}

core::Awaitable<core::Result<core::VersionedValue>>
SimulatedClient::get(std::string Key, core::TimePoint Deadline) {
  co_await beginOperation();
  core::Result<core::VersionedValue> Result =
      make_error_code(Error::Unavailable);
  if (!Store.Faults.Outage && Store.Run.now() < Deadline) {
    const auto Value = Store.Model.get(Key);
    if (Value)
      Result = *Value;
    else
      Result = make_error_code(Error::NotFound);
  }
  if (Store.Run.chance(Store.Faults.LostAnswer))
    Result = make_error_code(Error::Unavailable);
  co_await endOperation();
  co_return Result;
}

core::Awaitable<void>
SimulatedClient::applyDelayedWrite(std::string Key, std::string Value,
                                   std::uint64_t Expected) {
  co_await Store.Run.sleepFor(Store.Run.below(MaxWriteDelayMs));
  (void)Store.Model.put(Key, std::move(Value), Expected);
}

core::Awaitable<core::Result<std::uint64_t>>
SimulatedClient::put(std::string Key, std::string Value, std::uint64_t Expected,
                     core::TimePoint Deadline) {
  co_await beginOperation();
  core::Result<std::uint64_t> Result = make_error_code(Error::Unavailable);
  if (Store.Run.now() >= Deadline || Store.Run.chance(Store.Faults.Rejection)) {
    // Nothing was sent, or the store rejected it before execution.
  } else if (Store.Faults.Outage) {
    if (Store.Run.chance(50))
      Result = make_error_code(Error::OutcomeUnknown);
  } else if (Store.Run.chance(Store.Faults.DelayedWrite)) {
    boost::asio::co_spawn(
        Store.Run.context(),
        applyDelayedWrite(std::move(Key), std::move(Value), Expected),
        boost::asio::detached);
    Result = make_error_code(Error::OutcomeUnknown);
  } else {
    const auto Written = Store.Model.put(Key, std::move(Value), Expected);
    if (Written.Accepted)
      Result = Written.Version;
    else
      Result = make_error_code(Error::Conflict);
    if (Store.Run.chance(Store.Faults.LostAnswer))
      Result = make_error_code(Error::OutcomeUnknown);
  }
  co_await endOperation();
  co_return Result;
}

core::Awaitable<core::Result<core::VersionedValue>>
SimulatedClient::watch(std::string Key, std::uint64_t After,
                       core::TimePoint Deadline) {
  co_await beginOperation();
  core::Result<core::VersionedValue> Result =
      make_error_code(Error::DeadlineExceeded);
  while (Store.Run.now() < Deadline) {
    if (Store.Faults.Outage) {
      Result = make_error_code(Error::Unavailable);
      break;
    }
    const auto Value = Store.Model.get(Key);
    if (Value && Value->Version > After) {
      Result = *Value;
      break;
    }
    co_await Store.Run.sleepFor(WatchPollMs);
  }
  co_await endOperation();
  co_return Result;
}

} // namespace jujubecart::dev
