#ifndef JUJUBECART_CALLERS_SRC_EXECUTION_HPP
#define JUJUBECART_CALLERS_SRC_EXECUTION_HPP

#include <jujubecart/core/http_profile.hpp>
#include <jujubecart/core/slot_broker.hpp>

#include <compare>
#include <string_view>

namespace jujubecart::callers::internal {

/// @brief What this VM knows about the execution of one request by the backend
/// servers, over all of its attempts.
class ExecutionState {
public:
  /// @brief State before the first attempt: no backend server got the request.
  constexpr ExecutionState() noexcept = default;

  /// @brief State after a further attempt ended with an outcome.
  [[nodiscard]] ExecutionState
  afterAttempt(core::CallOutcome Outcome) const noexcept;

  /// @brief State after the claim of the order key was refused because another
  /// request holds it. That request may have run the order.
  [[nodiscard]] ExecutionState afterRepeatedKey() const noexcept;

  /// @brief Whether a backend server may have run this request.
  [[nodiscard]] bool mayHaveRun() const noexcept {
    return Stage == Progress::Possible;
  }

  /// @brief Whether another request holds the claim of the order key.
  [[nodiscard]] bool keyRepeated() const noexcept { return KeyRepeated; }

  /// @brief Whether it is certain that nothing has run, neither by this request
  /// nor by another one with its order key.
  [[nodiscard]] bool certainlyNotRun() const noexcept {
    return !mayHaveRun() && !KeyRepeated;
  }

  /// @brief Whether the request may be sent to a backend server once more.
  [[nodiscard]] bool maySendAgain(bool Idempotent) const noexcept {
    return Idempotent || !mayHaveRun();
  }

  /// @brief Name in log lines.
  [[nodiscard]] std::string_view name() const noexcept;

  friend auto operator<=>(const ExecutionState &,
                          const ExecutionState &) = default;

private:
  enum class Progress : std::uint8_t {
    /// Nothing was sent to a backend server.
    NotSent,
    /// Each backend server that got the request stated that it did not run it.
    Refused,
    Possible,
  };

  constexpr ExecutionState(Progress Stage, bool KeyRepeated) noexcept
      : Stage(Stage), KeyRepeated(KeyRepeated) {}

  Progress Stage = Progress::NotSent;
  bool KeyRepeated = false;
};

/// @brief Whether a status would promise the caller of a request that is not
/// idempotent that nothing has run, although that is not certain.
[[nodiscard]] bool promisesTooMuch(unsigned Status, bool Idempotent,
                                   const ExecutionState &Known,
                                   const core::HttpProfile &Profile) noexcept;

} // namespace jujubecart::callers::internal

#endif
