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

/// @brief Address and timing of a @ref VmListReader.
struct VmListReaderSettings {
  /// `IP:port` of the platform.
  std::string Address;
  /// Upper bound of the pause between polls; the pause is random and at least
  /// half as long.
  std::chrono::milliseconds Interval{1000};
  /// Maximum duration of one poll.
  std::chrono::milliseconds Timeout{1000};
  /// The pause doubles after each failed poll up to this value.
  std::chrono::milliseconds MaxBackoff{10000};
};

/// @brief Polls the platform's VM list; thread-safe.
class VmListReader {
public:
  using Listener = std::function<void(const VmList &)>;

  /// @brief Creates a reader that does not poll until start().
  /// @param Executor Runs the polls.
  /// @param Sleeper Must outlive the executor's work.
  /// @param Random Random numbers for the jitter.
  VmListReader(boost::asio::any_io_executor Executor, core::Sleeper &Sleeper,
               std::function<std::uint64_t()> Random,
               VmListReaderSettings Settings);

  /// @brief Stops polling.
  ~VmListReader();
  VmListReader(const VmListReader &) = delete;
  VmListReader &operator=(const VmListReader &) = delete;

  /// @brief Polls until stopped; does nothing if already started.
  /// @param Notify Called after each successful poll, never concurrently.
  void start(Listener Notify);

  /// @brief Cancels the pending poll; start() may be called again.
  void stop() noexcept;

private:
  const boost::asio::any_io_executor Executor;
  core::Sleeper &Sleeper;
  const std::function<std::uint64_t()> Random;
  const VmListReaderSettings Settings;
  std::mutex Mutex;
  std::shared_ptr<internal::VmListPoll> ActivePoll;
};

/// @brief Fetches the VM list once.
/// @param Address `IP:port` of the platform; it must be valid.
/// @return The list, Unavailable, DeadlineExceeded or Malformed.
[[nodiscard]] core::Awaitable<core::Result<VmList>>
fetchVmList(std::string Address, core::TimePoint Deadline);

} // namespace jujubecart::inventory

#endif
