#include "vm_list_poll.hpp"

#include <jujubecart/core/log.hpp>

#include <algorithm>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <exception>

namespace jujubecart::inventory {

namespace internal {

void VmListPoll::start() {
  boost::asio::co_spawn(Strand, run(),
                        boost::asio::bind_cancellation_slot(
                            Cancel.slot(), [Self = shared_from_this()](
                                               const std::exception_ptr &) {}));
}

void VmListPoll::stop() noexcept {
  Stopped = true;
  boost::asio::post(Strand, [Self = shared_from_this()] {
    Self->Cancel.emit(boost::asio::cancellation_type::all);
  });
}

core::Awaitable<void> VmListPoll::run() {
  while (!Stopped) {
    const auto List = co_await fetchVmList(
        Settings.Address, std::chrono::steady_clock::now() + Settings.Timeout);
    if (Stopped)
      co_return;
    if (List.has_value()) {
      PollDelay = Settings.Interval;
      Notify(*List);
    } else {
      backOff(List.error());
    }
    co_await Sleeper.sleepUntil(nextPollTime());
  }
}

void VmListPoll::backOff(std::error_code Code) {
  PollDelay = std::min(PollDelay * 2, Settings.MaxBackoff);
  core::LogLine(core::LogLevel::Warning, "platform.poll-failed")
      .field("error", Code)
      .field("retry_ms", PollDelay.count());
}

core::TimePoint VmListPoll::nextPollTime() const {
  // Equal jitter (half fixed, half random), so that VMs that started together
  // do not poll together.
  const auto Half = static_cast<std::uint64_t>(PollDelay.count() / 2);
  return std::chrono::steady_clock::now() +
         std::chrono::milliseconds(Half + Random() % (Half + 1));
}

} // namespace internal

VmListReader::VmListReader(boost::asio::any_io_executor Executor,
                           core::Sleeper &Sleeper,
                           std::function<std::uint64_t()> Random,
                           VmListReaderSettings Settings)
    : Executor(std::move(Executor)), Sleeper(Sleeper),
      Random(std::move(Random)), Settings(std::move(Settings)) {}

VmListReader::~VmListReader() { stop(); }

void VmListReader::start(Listener Notify) {
  const std::lock_guard Lock(Mutex);
  if (ActivePoll)
    return;
  ActivePoll = std::make_shared<internal::VmListPoll>(
      Executor, Sleeper, Random, Settings, std::move(Notify));
  ActivePoll->start();
}

void VmListReader::stop() noexcept {
  const std::lock_guard Lock(Mutex);
  if (ActivePoll)
    ActivePoll->stop();
  ActivePoll.reset();
}

} // namespace jujubecart::inventory
