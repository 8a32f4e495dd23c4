#ifndef JUJUBECART_CORE_MEMBER_HPP
#define JUJUBECART_CORE_MEMBER_HPP

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jujubecart::core {

/// @brief State of an entry VM as seen by another one.
enum class MemberState : std::uint8_t { Live, Suspect, Leaving };

/// @brief One entry VM of the fleet.
struct Member {
  std::string Id;
  /// `IP:port` for links between entry VMs.
  std::string Address;
  /// `IP:port` of the operators' endpoint.
  std::string Operators;
  std::string Zone;
  std::string Region;
  /// Share of a processor core in thousandths.
  std::uint32_t ProcessorMilli = 1000;
  /// Start time of the process in Unix milliseconds; a higher one wins.
  std::uint64_t Incarnation = 0;
  MemberState State = MemberState::Live;

  friend auto operator<=>(const Member &, const Member &) = default;
};

/// @brief Read access to the entry VMs known here, this one included.
class MemberSource {
public:
  virtual ~MemberSource() = default;

  /// @brief This VM.
  [[nodiscard]] virtual Member self() const = 0;

  /// @brief All known members in order of their id.
  [[nodiscard]] virtual std::vector<Member> members() const = 0;

  /// @brief Changes whenever members() would return something else.
  [[nodiscard]] virtual std::uint64_t version() const noexcept = 0;
};

/// @brief Readable name of a state.
[[nodiscard]] std::string_view toString(MemberState State) noexcept;

} // namespace jujubecart::core

#endif
