#ifndef JUJUBECART_DECISION_INTERNAL_STRING_MAP_HPP
#define JUJUBECART_DECISION_INTERNAL_STRING_MAP_HPP

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace jujubecart::decision::internal {

/// @brief Transparent string hash, which lets a map look up a std::string_view
/// without building a std::string.
struct StringHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view Text) const noexcept {
    return std::hash<std::string_view>{}(Text);
  }
};

/// @brief Hash map with string keys that can be looked up by std::string_view.
template <typename T>
using StringMap =
    std::unordered_map<std::string, T, StringHash, std::equal_to<>>;

} // namespace jujubecart::decision::internal

#endif
