#include <jujubecart/operators/api.hpp>

#include <algorithm>
#include <charconv>

namespace jujubecart::operators {

TimelineQuery parseTimelineQuery(std::string_view Text) noexcept {
  TimelineQuery Parsed;
  while (!Text.empty()) {
    const std::size_t End = std::min(Text.find('&'), Text.size());
    const std::string_view Pair = Text.substr(0, End);
    Text.remove_prefix(std::min(End + 1, Text.size()));
    const std::size_t Equals = Pair.find('=');
    if (Equals == std::string_view::npos)
      continue;
    const std::string_view Value = Pair.substr(Equals + 1);
    const char *Last = Value.data() + Value.size();
    if (Pair.substr(0, Equals) == "since")
      std::from_chars(Value.data(), Last, Parsed.Since);
    else if (Pair.substr(0, Equals) == "limit")
      std::from_chars(Value.data(), Last, Parsed.Limit);
  }
  return Parsed;
}

} // namespace jujubecart::operators
