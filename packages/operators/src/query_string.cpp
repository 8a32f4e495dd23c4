#include "query_string.hpp"

#include <algorithm>
#include <charconv>

namespace jujubecart::operators::internal {

namespace {

constexpr std::string_view HexDigits = "0123456789abcdef";
constexpr int HexBase = 16;
// Characters that have no meaning in a query string.
constexpr std::string_view PlainCharacters =
    "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-._~/";

// A control character in a name could break a line of the log.
std::optional<std::string> decode(std::string_view Text) {
  std::string Out;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    auto Byte = static_cast<std::uint8_t>(Text[At]);
    if (Text[At] == '%') {
      const auto Escaped = hexByte(Text.substr(At + 1, 2));
      if (!Escaped)
        return std::nullopt;
      Byte = *Escaped;
      At += 2;
    }
    if (Byte < ' ' || Byte == '\x7f')
      return std::nullopt;
    Out += static_cast<char>(Byte);
  }
  return Out;
}

} // namespace

std::vector<QueryParameter> parseQuery(std::string_view Text) {
  std::vector<QueryParameter> Out;
  while (!Text.empty()) {
    const std::size_t End = std::min(Text.find('&'), Text.size());
    const std::string_view Pair = Text.substr(0, End);
    Text.remove_prefix(std::min(End + 1, Text.size()));
    const std::size_t Equals = std::min(Pair.find('='), Pair.size());
    Out.push_back(
        {.Name = std::string(Pair.substr(0, Equals)),
         .Value = decode(Pair.substr(std::min(Equals + 1, Pair.size())))});
  }
  return Out;
}

void appendEncoded(std::string_view Value, std::string &Out) {
  for (const char Letter : Value) {
    if (PlainCharacters.find(Letter) != std::string_view::npos) {
      Out += Letter;
      continue;
    }
    Out += '%';
    appendHex(static_cast<std::uint8_t>(Letter), Out);
  }
}

std::optional<std::uint8_t> hexByte(std::string_view Digits) {
  std::uint8_t Value = 0;
  const char *End = Digits.data() + Digits.size();
  const auto [Last, Code] = std::from_chars(Digits.data(), End, Value, HexBase);
  if (Digits.size() != 2 || Code != std::errc() || Last != End)
    return std::nullopt;
  return Value;
}

void appendHex(std::uint8_t Byte, std::string &Out) {
  Out += HexDigits[Byte / HexBase];
  Out += HexDigits[Byte % HexBase];
}

} // namespace jujubecart::operators::internal
