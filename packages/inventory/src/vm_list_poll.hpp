#ifndef JUJUBECART_INVENTORY_SRC_VM_LIST_POLL_HPP
#define JUJUBECART_INVENTORY_SRC_VM_LIST_POLL_HPP

#include <jujubecart/inventory/vm_list_reader.hpp>

#include <atomic>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/strand.hpp>

namespace jujubecart::inventory::internal {

/// @brief One run of the poll loop, from VmListReader::start() to stop().
class VmListPoll : public std::enable_shared_from_this<VmListPoll> {
public:
  VmListPoll(const boost::asio::any_io_executor &Executor,
             core::Sleeper &Sleeper, std::function<std::uint64_t()> Random,
             VmListReaderSettings Settings, VmListReader::Listener Notify)
      : Strand(Executor), Sleeper(Sleeper), Random(std::move(Random)),
        Settings(std::move(Settings)), Notify(std::move(Notify)),
        PollDelay(this->Settings.Interval) {}

  /// @brief Spawns the loop, which keeps this object alive.
  void start();

  /// @brief Ends the loop and cancels its pending operation; thread-safe.
  void stop() noexcept;

private:
  const boost::asio::strand<boost::asio::any_io_executor> Strand;
  core::Sleeper &Sleeper;
  const std::function<std::uint64_t()> Random;
  const VmListReaderSettings Settings;
  const VmListReader::Listener Notify;
  boost::asio::cancellation_signal Cancel;
  std::atomic<bool> Stopped = false;
  /// Upper bound of the next pause; grows while polls fail.
  std::chrono::milliseconds PollDelay;

  [[nodiscard]] core::Awaitable<void> run();
  void backOff(std::error_code Code);
  [[nodiscard]] core::TimePoint nextPollTime() const;
};

} // namespace jujubecart::inventory::internal

#endif
