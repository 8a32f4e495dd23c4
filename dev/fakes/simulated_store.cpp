#include "fakes/simulated_store.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace jujubecart::dev {

using core::Error;
using core::make_error_code;

namespace {

constexpr std::uint64_t MaxDelayMs = 4;
constexpr std::uint64_t MaxPauseMs = 10000;
constexpr std::uint64_t MaxWriteDelayMs = 3000;
constexpr std::uint64_t WatchStepMs = 50;

} // namespace

core::Awaitable<void> SimulatedClient::before() {
  ++Shared.Operations;
  if (OperationsLeft != UINT64_MAX && OperationsLeft-- == 0)
    Dead = true;
  if (Dead)
    co_await Shared.Run.halt();
  co_await Shared.Run.sleepFor(Shared.Run.below(MaxDelayMs));
}

core::Awaitable<void> SimulatedClient::after() {
  co_await Shared.Run.sleepFor(Shared.Run.below(MaxDelayMs));
  if (Shared.Run.chance(Shared.Faults.Pause))
    co_await Shared.Run.sleepFor(Shared.Run.below(MaxPauseMs));
  if (OperationsLeft == 0)
    Dead = true;
  if (Dead)
    co_await Shared.Run.halt();
}

core::Awaitable<core::Result<core::VersionedValue>>
SimulatedClient::get(std::string Key, core::TimePoint Deadline) {
  co_await before();
  core::Result<core::VersionedValue> Result =
      make_error_code(Error::Unavailable);
  if (!Shared.Faults.Outage && Shared.Run.now() < Deadline) {
    const auto Value = Shared.Model.get(Key);
    if (Value)
      Result = *Value;
    else
      Result = make_error_code(Error::NotFound);
  }
  if (Shared.Run.chance(Shared.Faults.LostAnswer))
    Result = make_error_code(Error::Unavailable);
  co_await after();
  co_return Result;
}

core::Awaitable<void> SimulatedClient::writeLater(std::string Key,
                                                  std::string Value,
                                                  std::uint64_t Expected) {
  co_await Shared.Run.sleepFor(Shared.Run.below(MaxWriteDelayMs));
  (void)Shared.Model.put(Key, std::move(Value), Expected);
}

core::Awaitable<core::Result<std::uint64_t>>
SimulatedClient::put(std::string Key, std::string Value, std::uint64_t Expected,
                     core::TimePoint Deadline) {
  co_await before();
  core::Result<std::uint64_t> Result = make_error_code(Error::Unavailable);
  if (Shared.Run.now() >= Deadline ||
      Shared.Run.chance(Shared.Faults.Rejection)) {
    // Nothing was sent, or the store rejected it before execution.
  } else if (Shared.Faults.Outage) {
    if (Shared.Run.chance(50))
      Result = make_error_code(Error::OutcomeUnknown);
  } else if (Shared.Run.chance(Shared.Faults.DelayedWrite)) {
    boost::asio::co_spawn(
        Shared.Run.context(),
        writeLater(std::move(Key), std::move(Value), Expected),
        boost::asio::detached);
    Result = make_error_code(Error::OutcomeUnknown);
  } else {
    const auto Written = Shared.Model.put(Key, std::move(Value), Expected);
    if (Written.Accepted)
      Result = Written.Version;
    else
      Result = make_error_code(Error::Conflict);
    if (Shared.Run.chance(Shared.Faults.LostAnswer))
      Result = make_error_code(Error::OutcomeUnknown);
  }
  co_await after();
  co_return Result;
}

core::Awaitable<core::Result<core::VersionedValue>>
SimulatedClient::watch(std::string Key, std::uint64_t After,
                       core::TimePoint Deadline) {
  co_await before();
  core::Result<core::VersionedValue> Result =
      make_error_code(Error::DeadlineExceeded);
  while (Shared.Run.now() < Deadline) {
    if (Shared.Faults.Outage) {
      Result = make_error_code(Error::Unavailable);
      break;
    }
    const auto Value = Shared.Model.get(Key);
    if (Value && Value->Version > After) {
      Result = *Value;
      break;
    }
    co_await Shared.Run.sleepFor(WatchStepMs);
  }
  co_await after();
  co_return Result;
}

} // namespace jujubecart::dev
