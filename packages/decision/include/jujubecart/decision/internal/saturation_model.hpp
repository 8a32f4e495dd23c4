#ifndef JUJUBECART_DECISION_INTERNAL_SATURATION_MODEL_HPP
#define JUJUBECART_DECISION_INTERNAL_SATURATION_MODEL_HPP

namespace jujubecart::decision::internal {

/// @brief Learns by which factor work takes longer on a backend server whose
/// slots are almost all busy.
class SaturationModel {
public:
  /// @brief Records a call that ran on a saturated server.
  /// @param Ratio Its time as a part of the time expected below saturation.
  void record(double Ratio) noexcept;

  /// @brief Factor by which work takes longer; at least 1.
  [[nodiscard]] double factor() const noexcept { return Factor; }

  /// @brief Whether the server runs calls on all of its slots without slowing
  /// down much, so that none needs to be kept free.
  [[nodiscard]] bool negligible() const noexcept;

private:
  // Assumed until calls show otherwise: many servers slow down near capacity.
  double Factor = 1.7;
};

} // namespace jujubecart::decision::internal

#endif
