#ifndef JUJUBECART_DEV_FAKES_SIMULATED_STORE_HPP
#define JUJUBECART_DEV_FAKES_SIMULATED_STORE_HPP

#include "fakes/simulation.hpp"
#include "fakes/store_model.hpp"

#include <jujubecart/core/key_value_store.hpp>

namespace jujubecart::dev {

/// @brief Faults of a simulated store; probabilities are per operation and in
/// percent.
struct SimulatedFaults {
  /// An executed operation whose response is lost.
  std::uint64_t LostAnswer = 0;
  /// A write that fails with OutcomeUnknown and is executed up to three seconds
  /// later.
  std::uint64_t DelayedWrite = 0;
  /// The client is suspended for up to ten seconds after an operation.
  std::uint64_t Pause = 0;
  /// A write that is rejected without being executed.
  std::uint64_t Rejection = 0;
  /// Every operation fails while it is set.
  bool Outage = false;
};

/// @brief State of the store, shared by all clients of one simulation.
struct SimulatedStore {
  explicit SimulatedStore(Simulation &Run) : Run(Run) {}

  Simulation &Run;
  StoreModel Model;
  SimulatedFaults Faults;
  /// Operations that clients have started.
  std::uint64_t Operations = 0;
};

/// @brief Store client of one simulated process.
class SimulatedClient final : public core::KeyValueStore {
public:
  explicit SimulatedClient(SimulatedStore &Store) : Store(Store) {}

  [[nodiscard]] core::Awaitable<core::Result<core::VersionedValue>>
  get(std::string Key, core::TimePoint Deadline) override;

  [[nodiscard]] core::Awaitable<core::Result<std::uint64_t>>
  put(std::string Key, std::string Value, std::uint64_t Expected,
      core::TimePoint Deadline) override;

  [[nodiscard]] core::Awaitable<core::Result<core::VersionedValue>>
  watch(std::string Key, std::uint64_t After,
        core::TimePoint Deadline) override;

  /// @brief Simulates a crash of the process: no operation returns any more.
  void kill() noexcept { Dead = true; }

  /// @brief Simulates a crash once some more operations have started. It
  /// happens before or after the last of them takes effect; that one never
  /// returns.
  /// @param Count 0 crashes at the start of the next operation.
  void killAfter(std::uint64_t Count) noexcept { OperationsLeft = Count; }

  [[nodiscard]] bool dead() const noexcept { return Dead; }

private:
  SimulatedStore &Store;
  bool Dead = false;
  /// Operations that may still start; UINT64_MAX: no crash is planned.
  std::uint64_t OperationsLeft = UINT64_MAX;

  [[nodiscard]] core::Awaitable<void> beginOperation();
  [[nodiscard]] core::Awaitable<void> endOperation();
  [[nodiscard]] core::Awaitable<void>
  applyDelayedWrite(std::string Key, std::string Value, std::uint64_t Expected);
};

} // namespace jujubecart::dev

#endif
