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

/// @brief Bounds of a @ref ClaimLog.
struct ClaimLogSettings {
  /// VM id; stands in each batch for diagnosis.
  std::string Writer;
  /// Claims kept for one service; about 64 bytes each.
  std::size_t MaxEntries = 1'000'000;
  /// Claims that wait for one service.
  std::size_t MaxQueue = 10'000;
  /// Claims of one batch.
  std::size_t MaxBatch = 100;
  /// A head at or above this size moves to a segment.
  std::size_t SegmentBytes = 8192;
  /// Least time between two batches of one service: 100 per second.
  std::chrono::milliseconds BatchInterval{10};
  std::chrono::milliseconds OperationTimeout{1000};
};

/// @brief What a claim log works with; all references must outlive it.
struct ClaimLogParts {
  core::KeyValueStore &Store;
  /// Supplies mode and retention of each service.
  core::ConfigSource &Config;
  const core::Clock &Time;
  core::Sleeper &Delays;
  /// Source of nonces and jitter; called from any thread.
  std::function<std::uint64_t()> Random;
};

/// @brief Keeps order claims in the store, or in memory if configured so.
class ClaimLog final : public core::OrderClaims {
public:
  /// @brief Creates a log; a service is loaded when first needed.
  /// @param Executor Runs the batches; must outlive the pending ones.
  ClaimLog(boost::asio::any_io_executor Executor, ClaimLogParts Parts,
           ClaimLogSettings Settings);
  ~ClaimLog() override;
  ClaimLog(const ClaimLog &) = delete;
  ClaimLog &operator=(const ClaimLog &) = delete;

  /// @brief Binds a key to a request; repeating the same pair succeeds.
  /// @return Success, OrderRepeated, Overloaded if the table or the queue is
  /// full, NotFound without such a service, or Unavailable.
  [[nodiscard]] core::Awaitable<core::Result<void>>
  claim(std::string Service, core::OrderKey Key, core::RequestId Request,
        core::TimePoint Deadline) override;

  void release(const std::string &Service, core::OrderKey Key,
               core::RequestId Request) noexcept override;

private:
  using ServicePointer = std::shared_ptr<internal::ServiceClaims>;

  const boost::asio::any_io_executor Executor;
  const ClaimLogParts Parts;
  const ClaimLogSettings Settings;
  std::mutex Mutex;
  std::map<std::string, ServicePointer> Services;

  [[nodiscard]] ServicePointer find(const core::ServiceConfig &Service);
};

} // namespace jujubecart::store

#endif
