#ifndef JUJUBECART_DEV_FAKES_SIMULATED_STORE_HPP
#define JUJUBECART_DEV_FAKES_SIMULATED_STORE_HPP

#include "fakes/simulation.hpp"
#include "fakes/store_model.hpp"

#include <jujubecart/core/key_value_store.hpp>

namespace jujubecart::dev {

/// @brief Probabilities in percent of the faults of a simulated store.
struct SimulatedFaults {
  std::uint64_t LostAnswer = 0;
  /// A write that takes effect long after its client gave up.
  std::uint64_t DelayedWrite = 0;
  /// The client is suspended for up to ten seconds after an operation.
  std::uint64_t Pause = 0;
  std::uint64_t Rejection = 0;
  bool Outage = false;
};

/// @brief The store as all clients of one simulation share it.
struct SimulatedStore {
  explicit SimulatedStore(Simulation &Run) : Run(Run) {}

  Simulation &Run;
  StoreModel Model;
  SimulatedFaults Faults;
  std::uint64_t Operations = 0;
};

/// @brief Access of one simulated process to the store.
class SimulatedClient final : public core::KeyValueStore {
public:
  explicit SimulatedClient(SimulatedStore &Shared) : Shared(Shared) {}

  [[nodiscard]] core::Awaitable<core::Result<core::VersionedValue>>
  get(std::string Key, core::TimePoint Deadline) override;

  [[nodiscard]] core::Awaitable<core::Result<std::uint64_t>>
  put(std::string Key, std::string Value, std::uint64_t Expected,
      core::TimePoint Deadline) override;

  [[nodiscard]] core::Awaitable<core::Result<core::VersionedValue>>
  watch(std::string Key, std::uint64_t After,
        core::TimePoint Deadline) override;

  /// @brief Ends the process: no operation returns any more.
  void kill() noexcept { Dead = true; }

  /// @brief Kills the process after some more operations, before or after
  /// the last one took effect.
  void killAfter(std::uint64_t Count) noexcept { OperationsLeft = Count; }

  [[nodiscard]] bool dead() const noexcept { return Dead; }

private:
  SimulatedStore &Shared;
  bool Dead = false;
  std::uint64_t OperationsLeft = UINT64_MAX;

  [[nodiscard]] core::Awaitable<void> before();
  [[nodiscard]] core::Awaitable<void> after();
  [[nodiscard]] core::Awaitable<void>
  writeLater(std::string Key, std::string Value, std::uint64_t Expected);
};

} // namespace jujubecart::dev

#endif
