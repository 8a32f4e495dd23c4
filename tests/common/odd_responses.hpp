#ifndef JUJUBECART_TESTS_COMMON_ODD_RESPONSES_HPP
#define JUJUBECART_TESTS_COMMON_ODD_RESPONSES_HPP

#include <sstream>
#include <string>
#include <vector>

namespace jujubecart::tests {

/// @brief Bytes that are not a valid HTTP/1.1 response.
struct OddResponse {
  const char *Name;
  std::string Bytes;
};

/// @brief Responses with an invalid status line or header field, each with a
/// body that a reader could otherwise accept.
/// @param Fields Header lines, each ending in CRLF, that a valid response of
/// the tested service has.
inline std::vector<OddResponse> oddResponses(const std::string &Body = "x",
                                             const std::string &Fields = "") {
  const std::string Length =
      "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  std::ostringstream ChunkSize;
  ChunkSize << std::hex << Body.size();
  const std::string End = Fields + Length + "\r\n" + Body;
  const auto Line = [&](const std::string &StatusLine) {
    return StatusLine + "\r\n" + End;
  };
  const auto Field = [&](const std::string &FieldLine) {
    return "HTTP/1.1 200 OK\r\n" + FieldLine + "\r\n" + End;
  };
  using std::string_literals::operator""s;
  return {
      {"status 000", Line("HTTP/1.1 000 OK")},
      {"status 099", Line("HTTP/1.1 099 OK")},
      {"status 600", Line("HTTP/1.1 600 OK")},
      {"status 999", Line("HTTP/1.1 999 OK")},
      {"status 1000", Line("HTTP/1.1 1000 OK")},
      {"status 2000", Line("HTTP/1.1 2000 OK")},
      {"status 20", Line("HTTP/1.1 20 OK")},
      {"status 2x0", Line("HTTP/1.1 2x0 OK")},
      {"status +20", Line("HTTP/1.1 +20 OK")},
      {"no status", Line("HTTP/1.1 ")},
      {"no space after the status", Line("HTTP/1.1 200")},
      {"two spaces before the status", Line("HTTP/1.1  200 OK")},
      {"version 2", Line("HTTP/2.0 200 OK")},
      {"version 1.2", Line("HTTP/1.2 200 OK")},
      {"other protocol", Line("ICY 200 OK")},
      {"control byte in the reason", Line("HTTP/1.1 200 O\x01K")},
      {"blank in a name", Field("X A: 1")},
      {"blank before the colon", Field("X-A : 1")},
      {"tab before the colon", Field("X-A\t: 1")},
      {"tab in a name", Field("X\tA: 1")},
      {"control byte in a name", Field("X\x01"
                                       "A: 1")},
      {"DEL in a name", Field("X\x7f"
                              "A: 1")},
      {"byte over 127 in a name", Field("X\xe9"
                                        "A: 1")},
      {"no name", Field(": 1")},
      {"no colon", Field("X-A")},
      {"two lengths", Field("Content-Length: 0")},
      {"length with a sign",
       "HTTP/1.1 200 OK\r\n" + Fields + "Content-Length: +1\r\n\r\n" + Body},
      {"encoding in HTTP/1.0",
       "HTTP/1.0 200 OK\r\n" + Fields + "Transfer-Encoding: chunked\r\n\r\n" +
           ChunkSize.str() + "\r\n" + Body + "\r\n0\r\n\r\n"},
      {"length and encoding", Field("Transfer-Encoding: chunked")},
      {"folded line", Field("X-A: 1\r\n 2")},
      {"NUL in a value", Field("X-A: 1\0002"s)},
      {"bare CR in a value", Field("X-A: 1\r2")},
      {"bare LF in a value", Field("X-A: 1\nX-B: 2")},
  };
}

} // namespace jujubecart::tests

#endif
