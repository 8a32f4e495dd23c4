#ifndef JUJUBECART_DECISION_INTERNAL_ADOPTED_CALLS_HPP
#define JUJUBECART_DECISION_INTERNAL_ADOPTED_CALLS_HPP

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jujubecart::decision::internal {

/// @brief Calls in flight that an earlier dispatcher granted, by holder and
/// backend server.
class AdoptedCalls {
public:
  /// @brief Calls of one holder on one backend server.
  struct Part {
    std::string ServerId;
    std::uint32_t Calls = 0;
  };

  /// @brief Sets the number of calls of a holder on a server.
  /// @return The number before.
  std::uint32_t set(std::string Holder, std::string ServerId,
                    std::uint32_t Count);

  [[nodiscard]] std::uint32_t count(const std::string &Holder,
                                    const std::string &ServerId) const;

  /// @brief Removes the calls of a holder.
  /// @return What it had, by server.
  std::vector<Part> drop(std::string_view Holder);

private:
  std::map<std::pair<std::string, std::string>, std::uint32_t> Calls;
};

} // namespace jujubecart::decision::internal

#endif
