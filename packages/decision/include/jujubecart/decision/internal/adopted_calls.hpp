#ifndef JUJUBECART_DECISION_INTERNAL_ADOPTED_CALLS_HPP
#define JUJUBECART_DECISION_INTERNAL_ADOPTED_CALLS_HPP

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jujubecart::decision::internal {

/// @brief Counts the calls in flight that an earlier dispatcher of the group
/// granted, by holder (id of the entry VM) and backend server.
class AdoptedCalls {
public:
  /// @brief Number of calls of one holder on one backend server.
  struct ServerCalls {
    std::string ServerId;
    std::uint32_t Calls = 0;
  };

  /// @brief Sets the number of calls of a holder on a server.
  /// @return The previous number; 0 if there was none.
  std::uint32_t set(std::string Holder, std::string ServerId,
                    std::uint32_t Count);

  [[nodiscard]] std::uint32_t count(const std::string &Holder,
                                    const std::string &ServerId) const;

  /// @brief Removes all calls of a holder.
  /// @return The removed calls, one item for each server.
  std::vector<ServerCalls> removeHolder(std::string_view Holder);

private:
  std::map<std::pair<std::string, std::string>, std::uint32_t> Calls;
};

} // namespace jujubecart::decision::internal

#endif
