#ifndef JUJUBECART_STORE_SRC_SERVICE_CLAIMS_HPP
#define JUJUBECART_STORE_SRC_SERVICE_CLAIMS_HPP

#include "claim_view.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <deque>
#include <optional>
#include <vector>

namespace jujubecart::store::internal {

/// @brief Claims of one service; everything but release runs on its strand.
class ServiceClaims : public std::enable_shared_from_this<ServiceClaims> {
public:
  using Strand = boost::asio::strand<boost::asio::any_io_executor>;

  /// @brief A claim as asked for.
  struct Claim {
    core::OrderKey Key;
    core::RequestId Request;
    std::uint32_t RetentionS = 0;
    bool Durable = true;
    core::TimePoint Deadline;
  };

  ServiceClaims(const boost::asio::any_io_executor &Executor, std::string Name,
                ClaimLogParts Parts, ClaimLogSettings Settings)
      : Serial(Executor), Name(std::move(Name)), Parts(std::move(Parts)),
        Settings(std::move(Settings)), Memory(this->Settings.MaxEntries),
        View(this->Name, this->Parts.Store, this->Settings) {}

  [[nodiscard]] const Strand &executor() const noexcept { return Serial; }

  /// @brief Claims a key; runs on the strand.
  [[nodiscard]] core::Awaitable<core::Result<void>> claim(Claim Asked);

  /// @brief Queues a release; called from any thread.
  void release(core::OrderKey Key, core::RequestId Request);

private:
  /// @brief A claim or release that waits for a batch.
  struct Pending {
    Pending(const Strand &Serial, ClaimRecord Record, core::TimePoint Deadline,
            std::uint64_t Arrival)
        : Record(Record), Deadline(Deadline), Arrival(Arrival),
          Signal(Serial, boost::asio::steady_timer::time_point::max()) {}

    ClaimRecord Record;
    core::TimePoint Deadline;
    std::uint64_t Arrival;
    /// No error means success.
    std::optional<std::error_code> Answer;
    boost::asio::steady_timer Signal;
  };
  using PendingPointer = std::shared_ptr<Pending>;

  enum class Verdict : std::uint8_t { Write, Verify, Done };

  const Strand Serial;
  const std::string Name;
  const ClaimLogParts Parts;
  const ClaimLogSettings Settings;
  ClaimTable Memory;
  ClaimView View;
  std::deque<PendingPointer> Queue;
  bool Running = false;
  bool Stale = true;
  /// Arrivals up to this one came before the view was last confirmed.
  std::uint64_t Verified = 0;
  std::uint64_t Arrivals = 0;
  /// Version that a write with unknown outcome would replace.
  std::optional<std::uint64_t> Uncertain;
  core::TimePoint NextBatch{};
  unsigned Failures = 0;

  [[nodiscard]] core::Result<void> claimInMemory(const ClaimRecord &Record);
  [[nodiscard]] core::Awaitable<void> wait(PendingPointer Item);
  void enqueue(PendingPointer Item);
  void queueRelease(core::OrderKey Key, core::RequestId Request);
  [[nodiscard]] core::Awaitable<void> run();
  [[nodiscard]] core::Awaitable<void> step();
  [[nodiscard]] core::Awaitable<bool> refresh();
  [[nodiscard]] core::Awaitable<void> write(std::vector<PendingPointer> Batch);
  void written(const std::vector<PendingPointer> &Batch,
               const core::Result<void> &Outcome);
  void dropExpired();
  [[nodiscard]] std::vector<PendingPointer> takeBatch();
  [[nodiscard]] Verdict judge(Pending &Item);
  [[nodiscard]] Verdict judgeRelease(const Pending &Item) const;
  void requeue(const std::vector<PendingPointer> &Batch, bool ReleasesOnly);
  void failClaims();
  void backOff();
  static void answer(Pending &Item, std::error_code Code);
  [[nodiscard]] std::uint64_t nowS() const;
  [[nodiscard]] std::uint64_t expiryOf(const Claim &Asked) const;
};

} // namespace jujubecart::store::internal

#endif
