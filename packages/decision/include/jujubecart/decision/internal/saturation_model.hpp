#ifndef JUJUBECART_DECISION_INTERNAL_SATURATION_MODEL_HPP
#define JUJUBECART_DECISION_INTERNAL_SATURATION_MODEL_HPP

namespace jujubecart::decision::internal {

/// @brief Learns by which factor service times rise on a backend server when
/// almost all of its slots are busy (saturation).
class SaturationModel {
public:
  /// @param Initial Factor that is assumed before the first call; many servers
  /// slow down near capacity.
  explicit SaturationModel(double Initial = 1.7) noexcept : Factor(Initial) {}

  /// @brief Records a call that ran on a saturated server.
  /// @param Ratio Its service time divided by the time expected below
  /// saturation.
  void record(double Ratio) noexcept;

  /// @brief Factor on service times at saturation; at least 1.
  [[nodiscard]] double factor() const noexcept { return Factor; }

  /// @brief Whether the factor is so small that all slots can be used and
  /// none needs to be kept free.
  [[nodiscard]] bool negligible() const noexcept;

private:
  double Factor;
};

} // namespace jujubecart::decision::internal

#endif
