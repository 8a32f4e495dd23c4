#ifndef JUJUBECART_STORE_SRC_SERVICE_CLAIMS_HPP
#define JUJUBECART_STORE_SRC_SERVICE_CLAIMS_HPP

#include "claim_view.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <deque>
#include <optional>
#include <vector>

namespace jujubecart::store::internal {

/// @brief Claims of one service. Collects claims and releases in a queue and
/// writes them in batches. Everything but release() runs on its strand.
class ServiceClaims : public std::enable_shared_from_this<ServiceClaims> {
public:
  using Strand = boost::asio::strand<boost::asio::any_io_executor>;

  /// @brief Parameters of a claim.
  struct ClaimRequest {
    core::OrderKey Key;
    core::RequestId Request;
    /// Seconds for which the key is kept after the deadline.
    std::uint32_t RetentionS = 0;
    /// Whether the claim is kept in the store instead of in memory.
    bool Durable = true;
    core::TimePoint Deadline;
  };

  ServiceClaims(const boost::asio::any_io_executor &Executor, std::string Name,
                ClaimLogEnvironment Env, ClaimLogSettings Settings)
      : ServiceStrand(Executor), Name(std::move(Name)), Env(std::move(Env)),
        Settings(std::move(Settings)), MemoryTable(this->Settings.MaxEntries),
        View(this->Name, this->Env.Store, this->Settings) {}

  [[nodiscard]] const Strand &executor() const noexcept {
    return ServiceStrand;
  }

  /// @brief Claims a key; must run on the strand. Results as in
  /// ClaimLog::claim.
  [[nodiscard]] core::Awaitable<core::Result<void>>
  claim(ClaimRequest Requested);

  /// @brief Queues a release; may be called from any thread.
  void release(core::OrderKey Key, core::RequestId Request);

private:
  /// @brief A claim or release that waits for a batch.
  struct Pending {
    Pending(const Strand &ServiceStrand, ClaimRecord Record,
            core::TimePoint Deadline, std::uint64_t Arrival)
        : Record(Record), Deadline(Deadline), Arrival(Arrival),
          Completion(ServiceStrand,
                     boost::asio::steady_timer::time_point::max()) {}

    ClaimRecord Record;
    core::TimePoint Deadline;
    /// Sequence number in the order of arrival.
    std::uint64_t Arrival;
    /// Absent while pending; an empty error code means success.
    std::optional<std::error_code> Outcome;
    /// Never expires; cancelled to wake the waiting claim.
    boost::asio::steady_timer Completion;
  };
  using PendingPointer = std::shared_ptr<Pending>;

  /// @brief What to do with a queued item: put it into the batch, keep it until
  /// the view was refreshed, or remove it from the queue.
  enum class Action : std::uint8_t { Write, Verify, Done };

  const Strand ServiceStrand;
  const std::string Name;
  const ClaimLogEnvironment Env;
  const ClaimLogSettings Settings;
  /// Claims of a service whose keys are kept in memory only.
  ClaimTable MemoryTable;
  /// Claims of a service whose keys are kept in the store.
  ClaimView View;
  std::deque<PendingPointer> Queue;
  /// Whether the loop that writes batches is running.
  bool LoopRunning = false;
  /// Whether the view must be refreshed before the next batch.
  bool ViewStale = true;
  /// Last item that had arrived when the latest successful refresh or append
  /// began. For items up to this one the view is recent enough to refuse them.
  std::uint64_t VerifiedArrival = 0;
  /// Arrival number of the newest item.
  std::uint64_t LastArrival = 0;
  /// Head version that an append with unknown outcome would replace.
  std::optional<std::uint64_t> UncertainVersion;
  /// Earliest time of the next batch.
  core::TimePoint NextBatch{};
  /// Consecutive failures of the store; determines the backoff.
  unsigned Failures = 0;

  [[nodiscard]] core::Result<void> claimInMemory(const ClaimRecord &Record);
  [[nodiscard]] core::Awaitable<void> waitForCompletion(PendingPointer Item);
  void enqueue(PendingPointer Item);
  void queueRelease(core::OrderKey Key, core::RequestId Request);
  [[nodiscard]] core::Awaitable<void> runBatches();
  [[nodiscard]] core::Awaitable<void> processBatch();
  [[nodiscard]] core::Awaitable<bool> refresh();
  [[nodiscard]] core::Awaitable<void>
  writeBatch(std::vector<PendingPointer> Batch);
  void handleWriteResult(const std::vector<PendingPointer> &Batch,
                         const core::Result<void> &Outcome);
  void failExpired();
  [[nodiscard]] std::vector<PendingPointer> takeBatch();
  [[nodiscard]] Action chooseAction(Pending &Item);
  [[nodiscard]] Action chooseReleaseAction(const Pending &Item) const;
  void requeue(const std::vector<PendingPointer> &Batch, bool ReleasesOnly);
  void failQueuedClaims();
  void backOff();
  static void complete(Pending &Item, std::error_code Code);
  [[nodiscard]] std::uint64_t nowS() const;
  [[nodiscard]] std::uint64_t
  computeExpiryS(const ClaimRequest &Requested) const;
};

} // namespace jujubecart::store::internal

#endif
