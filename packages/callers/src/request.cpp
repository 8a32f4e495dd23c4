#include "request.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/http/field.hpp>
#include <jujubecart/core/http_rules.hpp>

namespace jujubecart::callers::internal {

namespace http = boost::beast::http;

namespace {

Rejection badRequest(std::string_view Text) {
  return {.Status = 400, .Reason = RejectReason::Malformed, .Text = Text};
}

char toLowerAscii(char Letter) {
  return Letter >= 'A' && Letter <= 'Z' ? static_cast<char>(Letter - 'A' + 'a')
                                        : Letter;
}

bool isHostChar(char Letter) {
  constexpr std::string_view Punctuation = "-._~[]:";
  const char Lower = toLowerAscii(Letter);
  return (Lower >= 'a' && Lower <= 'z') || (Lower >= '0' && Lower <= '9') ||
         Punctuation.find(Letter) != std::string_view::npos;
}

// Validates an authority and writes its host in lower case, without the port.
bool parseAuthority(std::string_view Authority, std::string &Host) {
  if (Authority.empty() ||
      !std::all_of(Authority.begin(), Authority.end(), isHostChar))
    return false;
  std::string_view Name = Authority;
  const std::size_t Colon = Authority.rfind(':');
  const bool IsIpLiteral = Authority.front() == '[';
  const std::size_t Bracket = Authority.find(']');
  if (IsIpLiteral != (Bracket != std::string_view::npos))
    return false;
  if (Colon != std::string_view::npos && (!IsIpLiteral || Colon > Bracket)) {
    const auto Port = core::parseDecimal(Authority.substr(Colon + 1));
    if (!Port || *Port == 0 || *Port > 65535)
      return false;
    Name = Authority.substr(0, Colon);
  }
  if (Name.empty() || (IsIpLiteral ? Name.back() != ']'
                                   : Name.find(':') != std::string_view::npos))
    return false;
  Host.resize(Name.size());
  std::transform(Name.begin(), Name.end(), Host.begin(), toLowerAscii);
  return true;
}

// Value of a hexadecimal digit, or -1.
int hexDigit(char Letter) {
  const char Lower = toLowerAscii(Letter);
  if (Lower >= '0' && Lower <= '9')
    return Lower - '0';
  return Lower >= 'a' && Lower <= 'f' ? Lower - 'a' + 10 : -1;
}

// Routing compares the prefix of a rule with the path as received. A backend
// server that resolves dot segments could serve a path outside of the rule, so
// paths with dot segments, also percent-encoded ones, are rejected.
bool hasDotSegment(std::string_view Path) {
  std::size_t Dots = 0;
  bool OnlyDots = true;
  for (std::size_t Index = 1; Index <= Path.size(); ++Index) {
    char Letter = Index < Path.size() ? Path[Index] : '/';
    if (Letter == '%' && Index + 2 < Path.size() &&
        Path.substr(Index + 1, 1) == "2") {
      const char Second = toLowerAscii(Path[Index + 2]);
      if (Second == 'e' || Second == 'f') {
        Letter = Second == 'e' ? '.' : '/';
        Index += 2;
      }
    }
    if (Letter == '/' || Letter == '\\') {
      if (OnlyDots && (Dots == 1 || Dots == 2))
        return true;
      Dots = 0;
      OnlyDots = true;
    } else if (Letter == '.') {
      ++Dots;
    } else {
      OnlyDots = false;
    }
  }
  return false;
}

// Checks the percent encoding; an encoded zero byte is invalid.
bool hasValidEscapes(std::string_view Path) {
  for (std::size_t Index = 0; Index < Path.size(); ++Index) {
    if (Path[Index] != '%')
      continue;
    if (Index + 2 >= Path.size() || hexDigit(Path[Index + 1]) < 0 ||
        hexDigit(Path[Index + 2]) < 0)
      return false;
    if (Path[Index + 1] == '0' && Path[Index + 2] == '0')
      return false;
  }
  return true;
}

std::optional<Rejection> readTarget(const Message &Head, ParsedRequest &Out) {
  std::string_view Target = Head.target();
  std::string_view Authority = Head[http::field::host];
  const bool HasHost = Head.find(http::field::host) != Head.end();
  if (!Out.Http10 && !HasHost)
    return badRequest("missing Host");
  constexpr std::string_view Scheme = "http://";
  if (Target.size() > Scheme.size() &&
      core::equalsIgnoreCase(Target.substr(0, Scheme.size()), Scheme)) {
    // The authority of an absolute target replaces Host (RFC 9112, 3.2.2).
    Target.remove_prefix(Scheme.size());
    const std::size_t End = Target.find_first_of("/?");
    Authority = Target.substr(0, End);
    Target = End == std::string_view::npos ? "" : Target.substr(End);
    Out.Target = Target.empty() || Target.front() == '?' ? "/" : "";
  }
  Out.Target.append(Target);
  Out.Authority = Authority;
  if ((HasHost || !Authority.empty()) && !parseAuthority(Authority, Out.Host))
    return badRequest("invalid Host or authority");
  if (Out.Target == "*" && Out.Method == "OPTIONS")
    return std::nullopt;
  if (Out.Target.empty() || Out.Target.front() != '/')
    return badRequest("invalid request target");
  if (!std::all_of(Out.Target.begin(), Out.Target.end(), [](char Letter) {
        return Letter > ' ' && Letter < 0x7f && Letter != '#';
      }))
    return badRequest("invalid character in the request target");
  const std::string_view Path =
      std::string_view(Out.Target).substr(0, Out.Target.find('?'));
  if (!hasValidEscapes(Path))
    return badRequest("invalid percent encoding in the path");
  if (hasDotSegment(Path))
    return badRequest("dot segment in the path");
  return std::nullopt;
}

std::optional<Rejection> readMethod(const Message &Head, ParsedRequest &Out) {
  static constexpr std::array<std::string_view, 7> Known{
      "GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"};
  Out.Method = Head.method_string();
  if (std::find(Known.begin(), Known.end(), Out.Method) == Known.end())
    return Rejection{.Status = 405,
                     .Reason = RejectReason::Malformed,
                     .Text = "method not supported"};
  return std::nullopt;
}

std::optional<Rejection>
readFraming(const core::HttpReader<true>::Parser &Parser, ParsedRequest &Out) {
  if (Parser.chunked()) {
    if (Out.Http10)
      return badRequest("Transfer-Encoding in HTTP/1.0");
    Out.Body = core::BackendRequest::Framing::Chunked;
  } else if (const auto Length = Parser.content_length()) {
    Out.ContentLength = *Length;
    Out.Body = core::BackendRequest::Framing::Length;
  } else if (Out.Method == "POST" || Out.Method == "PUT" ||
             Out.Method == "PATCH") {
    return Rejection{.Status = 411,
                     .Reason = RejectReason::Malformed,
                     .Text = "missing Content-Length"};
  }
  const std::string_view Expect = Parser.get()[http::field::expect];
  if (!Expect.empty() && !core::equalsIgnoreCase(Expect, "100-continue"))
    return Rejection{.Status = 417,
                     .Reason = RejectReason::Malformed,
                     .Text = "unsupported Expect"};
  Out.ExpectsContinue = !Expect.empty() && !Out.Http10;
  return std::nullopt;
}

// Whether the load balancer sets the field itself, with every profile.
bool isSetByBalancer(std::string_view Name) {
  static constexpr std::array Fields{http::field::host, http::field::expect,
                                     http::field::content_length};
  return std::any_of(Fields.begin(), Fields.end(), [&](http::field Known) {
    return core::equalsIgnoreCase(http::to_string(Known), Name);
  });
}

} // namespace

std::optional<Rejection>
parseRequestHead(const core::HttpReader<true>::Parser &Parser,
                 const core::HttpProfile &Profile, const core::Clock &Time,
                 ParsedRequest &Out) {
  const Message &Head = Parser.get();
  Out.Http10 = Head.version() == 10;
  Out.KeepAlive = Parser.keep_alive();
  if (const auto Problem = readMethod(Head, Out))
    return Problem;
  if (const auto Problem = readTarget(Head, Out))
    return Problem;
  if (const auto Problem = readFraming(Parser, Out))
    return Problem;
  if (const auto Problem = Profile.readRequest(Head, Time, Out.Traits))
    return badRequest(*Problem);
  if (Out.Traits.Id)
    Out.Id = *Out.Traits.Id;
  return std::nullopt;
}

std::string serializeForwardedHead(const Message &Original,
                                   const ParsedRequest &Request,
                                   const core::HttpProfile &Profile,
                                   bool HasWorkspaces) {
  constexpr std::size_t TypicalHead = 512;
  std::string Out;
  Out.reserve(TypicalHead);
  Out.append(Request.Method).append(" ").append(Request.Target);
  Out.append(" HTTP/1.1\r\n");
  core::appendField(
      Out, "Host", Request.Authority.empty() ? "localhost" : Request.Authority);
  const std::string Connection = core::connectionOptions(Original);
  for (const auto &Field : Original) {
    const std::string_view Name = Field.name_string();
    if (!isSetByBalancer(Name) &&
        !Profile.removesFromRequest(Name, HasWorkspaces) &&
        !core::isHopByHop(Name, Connection))
      core::appendField(Out, Name, Field.value());
  }
  if (Request.Body == core::BackendRequest::Framing::Length)
    core::appendField(Out, "Content-Length",
                      std::to_string(Request.ContentLength));
  else if (Request.Body == core::BackendRequest::Framing::Chunked)
    core::appendField(Out, "Transfer-Encoding", "chunked");
  return Out;
}

} // namespace jujubecart::callers::internal
