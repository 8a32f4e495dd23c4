#ifndef JUJUBECART_INVENTORY_VM_LIST_READER_HPP
#define JUJUBECART_INVENTORY_VM_LIST_READER_HPP

#include <jujubecart/core/awaitable.hpp>
#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/error.hpp>
#include <jujubecart/core/sleeper.hpp>
#include <jujubecart/inventory/vm_list.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace jujubecart::inventory {

namespace internal {
class VmListPoll;
}

/// @brief Where and how often a @ref VmListReader polls.
struct VmListReaderSettings {
  /// `IP:port` of the platform.
  std::string Address;
  std::chrono::milliseconds Interval{1000};
  std::chrono::milliseconds Timeout{1000};
  std::chrono::milliseconds LongestBackoff{10000};
};

/// @brief Polls the platform's list of VMs.
class VmListReader {
public:
  using Listener = std::function<void(const VmList &)>;

  /// @brief Creates a reader that does nothing yet.
  /// @param Executor Runs the polls.
  /// @param Delays Must outlive the executor's work.
  /// @param Random Source of jitter.
  VmListReader(boost::asio::any_io_executor Executor, core::Sleeper &Delays,
               std::function<std::uint64_t()> Random,
               VmListReaderSettings Settings);

  /// @brief Stops polling.
  ~VmListReader();
  VmListReader(const VmListReader &) = delete;
  VmListReader &operator=(const VmListReader &) = delete;

  /// @brief Polls until stopped; a failed poll changes nothing.
  /// @param Notify Called after each successful poll, one call at a time.
  void start(Listener Notify);

  /// @brief Cancels the pending poll.
  void stop() noexcept;

private:
  const boost::asio::any_io_executor Executor;
  core::Sleeper &Delays;
  const std::function<std::uint64_t()> Random;
  const VmListReaderSettings Settings;
  std::mutex Mutex;
  std::shared_ptr<internal::VmListPoll> Active;
};

/// @brief Fetches the list once.
/// @param Address `IP:port` of the platform.
/// @return The list, Unavailable, DeadlineExceeded or Malformed.
[[nodiscard]] core::Awaitable<core::Result<VmList>>
fetchVmList(std::string Address, core::TimePoint Deadline);

} // namespace jujubecart::inventory

#endif
