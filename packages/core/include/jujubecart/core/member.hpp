#ifndef JUJUBECART_CORE_MEMBER_HPP
#define JUJUBECART_CORE_MEMBER_HPP

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jujubecart::core {

/// @brief State of an entry VM as seen by this one.
enum class MemberState : std::uint8_t { Live, Suspect, Leaving };

/// @brief An entry VM of the fleet, as distributed among the members.
struct Member {
  std::string Id;
  /// `IP:port` for connections between entry VMs.
  std::string Address;
  /// `IP:port` of the HTTP endpoint for operators.
  std::string OperatorsAddress;
  std::string Zone;
  std::string Region;
  /// Processor capacity in thousandths of a core.
  std::uint32_t ProcessorMilli = 1000;
  /// Start time of the process in Unix milliseconds; information from a later
  /// start replaces that from an earlier one.
  std::uint64_t Incarnation = 0;
  MemberState State = MemberState::Live;

  friend auto operator<=>(const Member &, const Member &) = default;
};

/// @brief Read access to the known entry VMs, this one included.
class MemberSource {
public:
  virtual ~MemberSource() = default;

  /// @brief The member that stands for this VM.
  [[nodiscard]] virtual Member self() const = 0;

  /// @brief All known members, sorted by id.
  [[nodiscard]] virtual std::vector<Member> members() const = 0;

  /// @brief Number that changes whenever the result of members() changes.
  [[nodiscard]] virtual std::uint64_t version() const noexcept = 0;
};

/// @brief Name of a state for events and status output.
[[nodiscard]] std::string_view toString(MemberState State) noexcept;

} // namespace jujubecart::core

#endif
