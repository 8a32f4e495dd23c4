#include "query_string.hpp"

#include <jujubecart/operators/api.hpp>

#include <charconv>

namespace jujubecart::operators {

TimelineQuery parseTimelineQuery(std::string_view Text) {
  TimelineQuery Parsed;
  for (const auto &[Name, Value] : internal::parseQuery(Text)) {
    if (!Value)
      continue;
    const char *Last = Value->data() + Value->size();
    if (Name == "since")
      std::from_chars(Value->data(), Last, Parsed.Since);
    else if (Name == "limit")
      std::from_chars(Value->data(), Last, Parsed.Limit);
  }
  return Parsed;
}

} // namespace jujubecart::operators
