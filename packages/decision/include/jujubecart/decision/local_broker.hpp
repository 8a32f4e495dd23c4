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

/// @brief Broker that grants every request at once, without a queue, on the
/// server that a LocalPolicy chooses; thread-safe.
class LocalBroker final : public core::SlotBroker {
public:
  /// @brief Creates a broker; the objects passed by reference or pointer must
  /// outlive it.
  /// @param Config Source of the services.
  /// @param Time Clock for deadlines and the policies.
  /// @param PolicyName Name that makeLocalPolicy accepts; any other name throws
  /// std::invalid_argument.
  /// @param Seed Seed of the policies; each service gets its own policy and a
  /// seed derived from this one.
  /// @param Claims Records order keys; if it is nullptr, a request with an
  /// order key is refused as Unavailable.
  LocalBroker(const core::ConfigSource &Config, const core::Clock &Time,
              std::string PolicyName, std::uint64_t Seed,
              core::OrderClaims *Claims = nullptr);

  [[nodiscard]] core::Awaitable<core::Result<core::SlotGrant>>
  acquire(core::SlotRequest Request) override;
  void cancel(core::RequestId Request) noexcept override;
  [[nodiscard]] bool
  permits(const core::SlotGrant & /*Grant*/) const noexcept override {
    return true;
  }
  void release(const core::SlotGrant &Grant,
               const core::CallReport &Report) noexcept override;
  void releaseClaim(const std::string &Service, core::OrderKey Key,
                    core::RequestId Request) noexcept override;

  /// @brief Grants a request without claiming its order key.
  /// @return The grant; NotFound if the service does not exist, Unavailable if
  /// it has no server for the request, or DeadlineExceeded.
  [[nodiscard]] core::Result<core::SlotGrant>
  acquireNow(const core::SlotRequest &Request);

private:
  /// @brief Policy of a service, created on first use; Mutex must be held.
  [[nodiscard]] LocalPolicy &policy(const std::string &Service);

  const core::ConfigSource &Config;
  const core::Clock &Time;
  const std::string PolicyName;
  const std::uint64_t Seed;
  core::OrderClaims *const Claims;
  /// Protects the members below.
  std::mutex Mutex;
  std::uint64_t NextGrant = 1;
  /// By service name.
  internal::StringMap<std::unique_ptr<LocalPolicy>> Policies;
};

} // namespace jujubecart::decision

#endif
