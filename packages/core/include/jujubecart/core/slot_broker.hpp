#ifndef JUJUBECART_CORE_SLOT_BROKER_HPP
#define JUJUBECART_CORE_SLOT_BROKER_HPP

#include <jujubecart/core/awaitable.hpp>
#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/config.hpp>
#include <jujubecart/core/error.hpp>
#include <jujubecart/core/hash.hpp>
#include <jujubecart/core/load_report.hpp>
#include <jujubecart/core/request_id.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jujubecart::core {

/// @brief What a dispatcher advises a caller that it refuses.
struct RefusalAdvice {
  /// When the caller should ask again, if known.
  std::optional<TimePoint> RetryAt;
};

/// @brief Asks for a slot on one backend server of a service.
struct SlotRequest {
  std::string Service;
  RequestId Request;
  TimePoint Deadline;
  /// Lower is served first.
  std::uint8_t Priority = 5;
  /// Identifies the caller for fair queueing.
  std::uint64_t CallerHash = 0;
  /// Set for orders; the key is claimed before the slot is granted.
  std::optional<OrderKey> Key;
  /// Backend servers that earlier attempts of this request used.
  std::vector<std::string> Excluded;
  /// Latest end that meets the latency objective; max if there is none.
  TimePoint Objective = TimePoint::max();
  /// Identifies requests with similar service times; 0 if unknown.
  std::uint64_t WorkClass = 0;
  /// If not nullptr, receives advice when the request is refused.
  std::shared_ptr<RefusalAdvice> Advice;
};

/// @brief Permission to send one attempt to one backend server.
struct SlotGrant {
  std::uint64_t Id = 0;
  /// Dispatch group that granted it.
  std::string Group;
  /// VM id of the dispatcher; empty if the decision was made locally.
  std::string Dispatcher;
  BackendServer Server;

  friend auto operator<=>(const SlotGrant &, const SlotGrant &) = default;
};

/// @brief How one attempt ended.
enum class CallOutcome : std::uint8_t {
  Completed,
  /// No connection, or nothing was written.
  NotSent,
  /// The backend server refused it without running it.
  Rejected,
  TimedOut,
  /// The connection closed or the response was invalid after sending began.
  Broken,
  /// This VM gave up the attempt: caller gone or a hedge lost.
  Cancelled,
};

/// @brief Report on one finished attempt.
struct CallReport {
  CallOutcome Outcome = CallOutcome::Completed;
  /// Elapsed time from the first byte sent to the end of the response.
  std::chrono::microseconds Elapsed{0};
  /// Load as stated by the backend server.
  std::optional<LoadReport> Load;
  /// The backend server said that it is draining.
  bool Draining = false;
  /// The response has a status of 500 or above.
  bool Failed = false;
  /// Another process answered at the server's address.
  bool OtherInstance = false;

  friend bool operator==(const CallReport &, const CallReport &) = default;
};

/// @brief Whether a report proves that the request was not run.
[[nodiscard]] constexpr bool certainlyNotRun(CallOutcome Outcome) noexcept {
  return Outcome == CallOutcome::NotSent || Outcome == CallOutcome::Rejected;
}

/// @brief Decides which backend server serves a request, and when.
class SlotBroker {
public:
  virtual ~SlotBroker() = default;

  /// @brief Waits for a slot.
  /// @param Request What is asked for.
  /// @return The grant, or Overloaded, DeadlineExceeded, OrderRepeated,
  /// Unavailable, NotFound or Cancelled; after an error nothing is held.
  [[nodiscard]] virtual Awaitable<Result<SlotGrant>>
  acquire(SlotRequest Request) = 0;

  /// @brief Withdraws a waiting acquire, which then returns Cancelled.
  virtual void cancel(RequestId Request) noexcept = 0;

  /// @brief Returns a slot; called exactly once for each grant.
  /// @param Grant The grant.
  /// @param Report How the attempt ended.
  virtual void release(const SlotGrant &Grant,
                       const CallReport &Report) noexcept = 0;

  /// @brief Ends an order whose every attempt certainly was not run, so that
  /// the caller may repeat its idempotency key.
  virtual void releaseClaim(const std::string &Service, OrderKey Key,
                            RequestId Request) noexcept = 0;
};

} // namespace jujubecart::core

#endif
