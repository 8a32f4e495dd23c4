#include "request.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/http/field.hpp>
#include <jujubecart/core/http_rules.hpp>

namespace jujubecart::callers::internal {

namespace http = boost::beast::http;

namespace {

Fault malformed(std::string_view Text) {
  return {.Status = 400, .Reason = RejectReason::Malformed, .Text = Text};
}

char lower(char Letter) {
  return Letter >= 'A' && Letter <= 'Z' ? static_cast<char>(Letter - 'A' + 'a')
                                        : Letter;
}

bool isHostChar(char Letter) {
  constexpr std::string_view Punctuation = "-._~[]:";
  const char Low = lower(Letter);
  return (Low >= 'a' && Low <= 'z') || (Low >= '0' && Low <= '9') ||
         Punctuation.find(Letter) != std::string_view::npos;
}

bool splitAuthority(std::string_view Authority, std::string &Host) {
  if (Authority.empty() ||
      !std::all_of(Authority.begin(), Authority.end(), isHostChar))
    return false;
  std::string_view Name = Authority;
  const std::size_t Colon = Authority.rfind(':');
  const bool IsLiteral = Authority.front() == '[';
  const std::size_t Bracket = Authority.find(']');
  if (IsLiteral != (Bracket != std::string_view::npos))
    return false;
  if (Colon != std::string_view::npos && (!IsLiteral || Colon > Bracket)) {
    const auto Port = core::parseDecimal(Authority.substr(Colon + 1));
    if (!Port || *Port == 0 || *Port > 65535)
      return false;
    Name = Authority.substr(0, Colon);
  }
  if (Name.empty() || (IsLiteral ? Name.back() != ']'
                                 : Name.find(':') != std::string_view::npos))
    return false;
  Host.resize(Name.size());
  std::transform(Name.begin(), Name.end(), Host.begin(), lower);
  return true;
}

int hexDigit(char Letter) {
  const char Low = lower(Letter);
  if (Low >= '0' && Low <= '9')
    return Low - '0';
  return Low >= 'a' && Low <= 'f' ? Low - 'a' + 10 : -1;
}

// A rule's prefix is compared with the path as written. Dot segments could
// lead a backend server to a path outside of the rule, so they are refused.
bool hasDotSegment(std::string_view Path) {
  std::size_t Dots = 0;
  bool OnlyDots = true;
  for (std::size_t At = 1; At <= Path.size(); ++At) {
    char Letter = At < Path.size() ? Path[At] : '/';
    if (Letter == '%' && At + 2 < Path.size() &&
        Path.substr(At + 1, 1) == "2") {
      const char Second = lower(Path[At + 2]);
      if (Second == 'e' || Second == 'f') {
        Letter = Second == 'e' ? '.' : '/';
        At += 2;
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

bool hasValidEscapes(std::string_view Path) {
  for (std::size_t At = 0; At < Path.size(); ++At) {
    if (Path[At] != '%')
      continue;
    if (At + 2 >= Path.size() || hexDigit(Path[At + 1]) < 0 ||
        hexDigit(Path[At + 2]) < 0)
      return false;
    if (Path[At + 1] == '0' && Path[At + 2] == '0')
      return false;
  }
  return true;
}

std::optional<Fault> readTarget(const Message &Head, Request &Out) {
  std::string_view Target = Head.target();
  std::string_view Authority = Head[http::field::host];
  const bool HasHost = Head.find(http::field::host) != Head.end();
  if (!Out.Http10 && !HasHost)
    return malformed("missing Host");
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
  if ((HasHost || !Authority.empty()) && !splitAuthority(Authority, Out.Host))
    return malformed("invalid Host or authority");
  if (Out.Target == "*" && Out.Method == "OPTIONS")
    return std::nullopt;
  if (Out.Target.empty() || Out.Target.front() != '/')
    return malformed("invalid request target");
  if (!std::all_of(Out.Target.begin(), Out.Target.end(), [](char Letter) {
        return Letter > ' ' && Letter < 0x7f && Letter != '#';
      }))
    return malformed("invalid character in the request target");
  const std::string_view Path =
      std::string_view(Out.Target).substr(0, Out.Target.find('?'));
  if (!hasValidEscapes(Path))
    return malformed("invalid percent encoding in the path");
  if (hasDotSegment(Path))
    return malformed("dot segment in the path");
  return std::nullopt;
}

std::optional<Fault> readMethod(const Message &Head, Request &Out) {
  static constexpr std::array<std::string_view, 7> Known{
      "GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"};
  Out.Method = Head.method_string();
  if (std::find(Known.begin(), Known.end(), Out.Method) == Known.end())
    return Fault{.Status = 405,
                 .Reason = RejectReason::Malformed,
                 .Text = "method not supported"};
  return std::nullopt;
}

std::optional<Fault> readFraming(const core::HttpReader<true>::Parser &Parser,
                                 Request &Out) {
  if (Parser.chunked()) {
    if (Out.Http10)
      return malformed("Transfer-Encoding in HTTP/1.0");
    Out.Body = core::BackendRequest::Framing::Chunked;
  } else if (const auto Length = Parser.content_length()) {
    Out.ContentLength = *Length;
    Out.Body = core::BackendRequest::Framing::Length;
  } else if (Out.Method == "POST" || Out.Method == "PUT" ||
             Out.Method == "PATCH") {
    return Fault{.Status = 411,
                 .Reason = RejectReason::Malformed,
                 .Text = "missing Content-Length"};
  }
  const std::string_view Expect = Parser.get()[http::field::expect];
  if (!Expect.empty() && !core::equalsIgnoreCase(Expect, "100-continue"))
    return Fault{.Status = 417,
                 .Reason = RejectReason::Malformed,
                 .Text = "unsupported Expect"};
  Out.ExpectsContinue = !Expect.empty() && !Out.Http10;
  return std::nullopt;
}

// Fields that the load balancer sets itself, whatever the profile.
bool isReplaced(std::string_view Name) {
  static constexpr std::array<std::string_view, 3> Names{"host", "expect",
                                                         "content-length"};
  return std::any_of(Names.begin(), Names.end(), [&](std::string_view Known) {
    return core::equalsIgnoreCase(Known, Name);
  });
}

} // namespace

std::optional<Fault> interpret(const core::HttpReader<true>::Parser &Parser,
                               const core::HttpProfile &Profile,
                               const core::Clock &Time, Request &Out) {
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
    return malformed(*Problem);
  if (Out.Traits.Id)
    Out.Id = *Out.Traits.Id;
  return std::nullopt;
}

std::string forwardedHead(const Message &Original, const Request &What,
                          const core::HttpProfile &Profile) {
  constexpr std::size_t TypicalHead = 512;
  std::string Out;
  Out.reserve(TypicalHead);
  Out.append(What.Method).append(" ").append(What.Target);
  Out.append(" HTTP/1.1\r\n");
  core::appendField(Out, "Host",
                    What.Authority.empty() ? "localhost" : What.Authority);
  const std::string Connection = core::connectionOptions(Original);
  for (const auto &Field : Original) {
    const std::string_view Name = Field.name_string();
    if (!isReplaced(Name) && !Profile.replacesInRequest(Name) &&
        !core::isHopByHop(Name, Connection))
      core::appendField(Out, Name, Field.value());
  }
  if (What.Body == core::BackendRequest::Framing::Length)
    core::appendField(Out, "Content-Length",
                      std::to_string(What.ContentLength));
  else if (What.Body == core::BackendRequest::Framing::Chunked)
    core::appendField(Out, "Transfer-Encoding", "chunked");
  return Out;
}

} // namespace jujubecart::callers::internal
