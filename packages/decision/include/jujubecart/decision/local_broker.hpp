#ifndef JUJUBECART_DECISION_LOCAL_BROKER_HPP
#define JUJUBECART_DECISION_LOCAL_BROKER_HPP

#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/config_source.hpp>
#include <jujubecart/core/order_claims.hpp>
#include <jujubecart/core/slot_broker.hpp>
#include <jujubecart/decision/local_policy.hpp>

#include <memory>
#include <mutex>
#include <string>

#include <jujubecart/decision/internal/string_map.hpp>

namespace jujubecart::decision {

/// @brief Grants at once by a LocalPolicy, without a queue; thread-safe.
class LocalBroker final : public core::SlotBroker {
public:
  /// @brief Creates a broker; the references must outlive it.
  /// @param Config Source of the services.
  /// @param Time Clock for the policies.
  /// @param PolicyName Name that makeLocalPolicy knows; throws
  /// std::invalid_argument otherwise.
  /// @param Seed Seed of the policies.
  /// @param Claims Records order keys; without it a request with an order key
  /// is refused as Unavailable.
  LocalBroker(const core::ConfigSource &Config, const core::Clock &Time,
              std::string PolicyName, std::uint64_t Seed,
              core::OrderClaims *Claims = nullptr);

  [[nodiscard]] core::Awaitable<core::Result<core::SlotGrant>>
  acquire(core::SlotRequest Request) override;
  void cancel(core::RequestId Request) noexcept override;
  void release(const core::SlotGrant &Grant,
               const core::CallReport &Report) noexcept override;
  void releaseClaim(const std::string &Service, core::OrderKey Key,
                    core::RequestId Request) noexcept override;

  /// @brief Grants at once; the order key of the request is not claimed.
  /// @return The grant, NotFound, Unavailable or DeadlineExceeded.
  [[nodiscard]] core::Result<core::SlotGrant>
  acquireNow(const core::SlotRequest &Request);

private:
  [[nodiscard]] LocalPolicy &policy(const std::string &Service);

  const core::ConfigSource &Config;
  const core::Clock &Time;
  const std::string PolicyName;
  const std::uint64_t Seed;
  core::OrderClaims *const Claims;
  std::mutex Mutex;
  std::uint64_t NextGrant = 1;
  internal::StringMap<std::unique_ptr<LocalPolicy>> Policies;
};

} // namespace jujubecart::decision

#endif
