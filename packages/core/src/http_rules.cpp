#include <jujubecart/core/http_rules.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace jujubecart::core {

namespace internal {

constexpr std::string_view LineEnd = "\r\n";

constexpr char toLower(char Letter) noexcept {
  return Letter >= 'A' && Letter <= 'Z' ? static_cast<char>(Letter - 'A' + 'a')
                                        : Letter;
}

constexpr bool isTokenChar(char Letter) noexcept {
  constexpr std::string_view Punctuation = "!#$%&'*+-.^_`|~";
  return (Letter >= '0' && Letter <= '9') || (Letter >= 'a' && Letter <= 'z') ||
         (Letter >= 'A' && Letter <= 'Z') ||
         Punctuation.find(Letter) != std::string_view::npos;
}

constexpr bool isControl(char Letter) noexcept {
  const auto Byte = static_cast<unsigned char>(Letter);
  return (Byte < 0x20 && Byte != '\t') || Byte == 0x7f;
}

// Field that must not be repeated, since two recipients could choose different
// values.
struct UniqueField {
  std::string_view Name;
  bool Seen = false;
};

// Validates the header fields of a message one after another.
struct FieldValidator {
  std::array<UniqueField, 7> UniqueFields{{{"content-length"},
                                           {"transfer-encoding"},
                                           {"host"},
                                           {"idempotency-key"},
                                           {"x-deadline"},
                                           {"x-call-depth"},
                                           {"x-outcome"}}};

  // Returns an error message, or nullptr if the line is valid.
  const char *add(std::string_view Line) noexcept;

  [[nodiscard]] bool hasTransferEncoding() const noexcept {
    return UniqueFields[1].Seen;
  }
};

const char *FieldValidator::add(std::string_view Line) noexcept {
  if (Line.front() == ' ' || Line.front() == '\t')
    return "folded header field (obsolete line folding)";
  const std::size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos || Colon == 0)
    return "header field without a name";
  const std::string_view Name = Line.substr(0, Colon);
  if (!std::all_of(Name.begin(), Name.end(), isTokenChar))
    return "invalid character in a header field name";
  const std::string_view Value = trim(Line.substr(Colon + 1));
  for (UniqueField &Field : UniqueFields) {
    if (!equalsIgnoreCase(Field.Name, Name))
      continue;
    if (Field.Seen)
      return "repeated header field";
    Field.Seen = true;
  }
  if (equalsIgnoreCase(Name, "content-length") && !parseDecimal(Value))
    return "invalid Content-Length";
  if (equalsIgnoreCase(Name, "transfer-encoding") &&
      !equalsIgnoreCase(Value, "chunked"))
    return "unsupported Transfer-Encoding";
  return UniqueFields[0].Seen && hasTransferEncoding()
             ? "Content-Length together with Transfer-Encoding"
             : nullptr;
}

const char *validateLines(std::string_view Head,
                          FieldValidator &Validator) noexcept {
  bool StartLine = true;
  while (!Head.empty()) {
    const std::size_t End = Head.find('\n');
    if (End == std::string_view::npos || End == 0 || Head[End - 1] != '\r')
      return "line does not end with CRLF";
    const std::string_view Line = Head.substr(0, End - 1);
    Head.remove_prefix(End + 1);
    if (Line.empty())
      return Head.empty() && !StartLine
                 ? nullptr
                 : "unexpected empty line in the message head";
    if (std::any_of(Line.begin(), Line.end(), isControl))
      return "control character in the message head";
    if (!StartLine) {
      if (const char *Message = Validator.add(Line))
        return Message;
    }
    StartLine = false;
  }
  return "message head does not end with an empty line";
}

constexpr std::string_view Version11 = "HTTP/1.1 ";
constexpr std::string_view Version10 = "HTTP/1.0 ";

// RFC 9112, 4: version, a space, three digits, a space, a reason phrase, which
// may be empty.
bool isStatusLine(std::string_view Line) noexcept {
  constexpr std::size_t CodeDigits = 3;
  if (!Line.starts_with(Version11) && !Line.starts_with(Version10))
    return false;
  Line.remove_prefix(Version11.size());
  if (Line.size() <= CodeDigits || Line[CodeDigits] != ' ')
    return false;
  const auto Code = parseDecimal(Line.substr(0, CodeDigits));
  return Code && *Code >= 100 && *Code <= 599;
}

} // namespace internal

std::string_view trim(std::string_view Text) noexcept {
  const std::size_t First = Text.find_first_not_of(" \t");
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(" \t") - First + 1);
}

bool equalsIgnoreCase(std::string_view Left, std::string_view Right) noexcept {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](char A, char B) {
                      return internal::toLower(A) == internal::toLower(B);
                    });
}

const char *validateHead(std::string_view Head) noexcept {
  internal::FieldValidator Validator;
  return internal::validateLines(Head, Validator);
}

const char *validateResponseHead(std::string_view Head) noexcept {
  const std::string_view Line = Head.substr(0, Head.find(internal::LineEnd));
  if (!internal::isStatusLine(Line))
    return "invalid status line";
  internal::FieldValidator Validator;
  if (const char *Message = internal::validateLines(Head, Validator))
    return Message;
  // RFC 9112, 6.1: HTTP/1.0 has no Transfer-Encoding, so that the framing of
  // such a message is faulty.
  return Validator.hasTransferEncoding() &&
                 Line.starts_with(internal::Version10)
             ? "Transfer-Encoding in an HTTP/1.0 response"
             : nullptr;
}

bool isHopByHop(std::string_view Name, std::string_view Connection) noexcept {
  static constexpr std::array<std::string_view, 9> Names{"connection",
                                                         "keep-alive",
                                                         "proxy-connection",
                                                         "te",
                                                         "trailer",
                                                         "transfer-encoding",
                                                         "upgrade",
                                                         "proxy-authenticate",
                                                         "proxy-authorization"};
  if (std::any_of(Names.begin(), Names.end(), [&](std::string_view Known) {
        return equalsIgnoreCase(Known, Name);
      }))
    return true;
  while (!Connection.empty()) {
    const std::size_t Comma = Connection.find(',');
    if (equalsIgnoreCase(trim(Connection.substr(0, Comma)), Name))
      return true;
    if (Comma == std::string_view::npos)
      break;
    Connection.remove_prefix(Comma + 1);
  }
  return false;
}

std::optional<std::uint64_t> parseDecimal(std::string_view Text) noexcept {
  if (Text.empty() || Text.front() < '0' || Text.front() > '9')
    return std::nullopt;
  std::uint64_t Number = 0;
  const auto [End, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  if (Code != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Number;
}

void appendField(std::string &Out, std::string_view Name,
                 std::string_view Value) {
  Out.append(Name).append(": ").append(Value).append(internal::LineEnd);
}

} // namespace jujubecart::core
