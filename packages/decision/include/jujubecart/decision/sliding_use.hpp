#ifndef JUJUBECART_DECISION_SLIDING_USE_HPP
#define JUJUBECART_DECISION_SLIDING_USE_HPP

#include <jujubecart/core/clock.hpp>

#include <chrono>
#include <cstdint>
#include <utility>
#include <vector>

namespace jujubecart::decision {

/// @brief What was used in a window that ends now, in slots of a fiftieth of
/// the window. What was used in a slot expires one window after the slot's end,
/// so that the total is never less than the use of any window.
class SlidingUse {
public:
  /// @param Window At least 50 ms.
  explicit SlidingUse(std::chrono::milliseconds Window);

  /// @brief Adds an amount that was used at an instant within the window.
  void add(double Amount, core::TimePoint UsedAt);

  /// @brief Takes back an amount that was used at an instant.
  /// @return What was taken back; less than Amount if it has expired.
  double remove(double Amount, core::TimePoint UsedAt);

  /// @brief Takes back an amount of unknown time, the newest use first.
  void removeNewest(double Amount);

  /// @brief Adds what another observer of the same use counted beyond it.
  /// @param Told Newest first; each amount with the instant of its last use.
  /// @param Unseen Newest use counted here that the observer cannot know of.
  /// @return What was added.
  double raise(const std::vector<std::pair<core::TimePoint, double>> &Told,
               double Unseen);

  /// @brief What was used, newest first; each amount with the instant of its
  /// last use, at most Now.
  [[nodiscard]] std::vector<std::pair<core::TimePoint, double>>
  history(core::TimePoint Now) const;

  /// @brief Forgets what has expired.
  /// @return The amount that was forgotten.
  double expire(core::TimePoint Now);

  [[nodiscard]] double total() const noexcept { return Total; }

  /// @brief Part of the total that was used in slots before that of an instant.
  [[nodiscard]] double totalBefore(core::TimePoint Instant) const;

  /// @brief When an amount will have expired if nothing is added; when all has
  /// if it is more than the total. The epoch if the amount is not positive.
  [[nodiscard]] core::TimePoint expiresAt(double Amount) const;

private:
  struct Slot {
    std::int64_t Number = 0;
    double Amount = 0;
  };

  [[nodiscard]] std::int64_t slotNumber(core::TimePoint Instant) const;
  [[nodiscard]] core::TimePoint expiryOf(const Slot &Item) const;

  std::chrono::milliseconds Window;
  std::chrono::milliseconds SlotLength;
  /// By number; slots without use are left out.
  std::vector<Slot> Slots;
  double Total = 0;
};

} // namespace jujubecart::decision

#endif
