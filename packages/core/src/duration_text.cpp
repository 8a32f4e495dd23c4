#include <jujubecart/core/duration_text.hpp>

#include <cmath>
#include <limits>
#include <locale>
#include <sstream>
#include <string>

namespace jujubecart::core {

namespace {

constexpr double MillisecondsPerSecond = 1000;

} // namespace

std::optional<std::uint32_t> parseMilliseconds(std::string_view Text) {
  std::istringstream In{std::string(Text)};
  In.imbue(std::locale::classic());
  double Number = 0;
  std::string Unit;
  if (!(In >> Number >> Unit) || (Unit != "ms" && Unit != "s"))
    return std::nullopt;
  if (Unit == "s")
    Number *= MillisecondsPerSecond;
  if (!(Number >= 0) || Number > std::numeric_limits<std::uint32_t>::max())
    return std::nullopt;
  return static_cast<std::uint32_t>(std::llround(Number));
}

} // namespace jujubecart::core
