#ifndef JUJUBECART_DECISION_KNOWN_VMS_HPP
#define JUJUBECART_DECISION_KNOWN_VMS_HPP

#include <jujubecart/core/clock.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace jujubecart::decision {

/// @brief VMs that may be running: the members, and for some minutes those that
/// ceased to be members without leaving.
class KnownVms {
public:
  using Ids = std::set<std::string, std::less<>>;

  /// @brief Replaces the members.
  /// @param Leaving VMs that end; they are forgotten at once.
  void update(Ids Members, const Ids &Leaving, core::TimePoint Now);

  [[nodiscard]] std::size_t count() const noexcept {
    return Members.size() + ForgetAt.size();
  }

  /// @brief When count() changes if update() is called then with the same
  /// members; max if it doesn't.
  [[nodiscard]] core::TimePoint nextChange() const;

private:
  Ids Members;
  /// VMs that are no members any more.
  std::map<std::string, core::TimePoint, std::less<>> ForgetAt;
};

} // namespace jujubecart::decision

#endif
