#ifndef JUJUBECART_STORE_CLAIM_LOG_HPP
#define JUJUBECART_STORE_CLAIM_LOG_HPP

#include <jujubecart/core/config_source.hpp>
#include <jujubecart/core/key_value_store.hpp>
#include <jujubecart/core/order_claims.hpp>
#include <jujubecart/core/sleeper.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace jujubecart::store {

namespace internal {
class ServiceClaims;
}

/// @brief Limits and timing of a @ref ClaimLog.
struct ClaimLogSettings {
  /// VM id; recorded in the head with each batch, for diagnosis only.
  std::string Writer;
  /// Claims of one service held in memory; about 64 bytes each. Further claims
  /// fail with Overloaded.
  std::size_t MaxEntries = 1'000'000;
  /// Claims of one service that wait to be written. Further claims fail with
  /// Overloaded; releases may take up to twice this length.
  std::size_t MaxQueueLength = 10'000;
  /// Claims and releases written by one compare-and-swap.
  std::size_t MaxBatchSize = 100;
  /// The records of a head of at least this size are moved to a segment before
  /// the next batch is written.
  std::size_t SegmentBytes = 8192;
  /// Minimum time between two batches of one service: 100 batches per second.
  std::chrono::milliseconds MinBatchInterval{10};
  /// Timeout of one refresh or one append, including all their store calls.
  std::chrono::milliseconds OperationTimeout{1000};
};

/// @brief Dependencies of a @ref ClaimLog; all references must outlive it.
struct ClaimLogEnvironment {
  core::KeyValueStore &Store;
  /// Supplies the order key mode and the retention time of each service.
  core::ConfigSource &Config;
  const core::Clock &Time;
  core::Sleeper &Sleeper;
  /// Random source for nonces and backoff jitter; called from any thread.
  std::function<std::uint64_t()> Random;
};

/// @brief Binds order keys to requests so that no order runs twice.
///
/// Claims are kept in the store, where every VM sees them, or in this VM's
/// memory if the service is configured so.
class ClaimLog final : public core::OrderClaims {
public:
  /// @brief Creates a log that reads the claims of a service when they are
  /// first needed.
  /// @param Executor Runs the batches; must outlive the pending ones.
  ClaimLog(boost::asio::any_io_executor Executor, ClaimLogEnvironment Env,
           ClaimLogSettings Settings);
  ~ClaimLog() override;
  ClaimLog(const ClaimLog &) = delete;
  ClaimLog &operator=(const ClaimLog &) = delete;

  /// @brief Binds a key to a request; repeating the same pair succeeds.
  /// @return Success; OrderRepeated if another request holds the key;
  /// Overloaded if the table or the queue is full; NotFound if the service is
  /// not configured; Unavailable if the claim could not be recorded in time.
  [[nodiscard]] core::Awaitable<core::Result<void>>
  claim(std::string Service, core::OrderKey Key, core::RequestId Request,
        core::TimePoint Deadline) override;

  /// @brief Queues the release of a key; a full queue drops it with a warning.
  void release(const std::string &Service, core::OrderKey Key,
               core::RequestId Request) noexcept override;

private:
  using ServicePointer = std::shared_ptr<internal::ServiceClaims>;

  const boost::asio::any_io_executor Executor;
  const ClaimLogEnvironment Env;
  const ClaimLogSettings Settings;
  std::mutex Mutex;
  std::map<std::string, ServicePointer> Services;

  /// @brief Returns the claims of a service; creates them on first use.
  [[nodiscard]] ServicePointer findOrCreate(const core::ServiceConfig &Service);
};

} // namespace jujubecart::store

#endif
