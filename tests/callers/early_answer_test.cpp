#include "harness.hpp"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <jujubecart/platform/http_profile.hpp>

#include <criterion/criterion.h>

using namespace jujubecart;
using namespace jujubecart::test;

namespace {

namespace http = boost::beast::http;

const std::string FirstId = "1111111111111111";
const std::string SecondId = "2222222222222222";
const std::string FirstBody(3000, 'f');
const std::string SecondBody = "second";

enum class Framing { Length, Chunked, None };
enum class End { Close, Reset };
// DuringWrite: the server does not read, so the VM waits in a write when the
// response arrives, and the write is the first to meet a reset.
enum class When { BeforeBody, DuringWrite, DuringBody, AfterBody };

struct Case {
  Framing Framed;
  End Ended;
  When Sent;
  /// Whether the server sends its whole response before the end.
  bool Whole;
  /// Whether the VM has no memory for the upload and streams it.
  bool Streamed;

  [[nodiscard]] std::string name() const {
    constexpr std::array<const char *, 3> Framings{"length", "chunked", "none"};
    constexpr std::array<const char *, 4> Times{"before", "during a write",
                                                "during", "after"};
    return std::string(Framings[static_cast<int>(Framed)]) + ", " +
           Times[static_cast<int>(Sent)] +
           (Ended == End::Reset ? ", reset" : ", close") +
           (Whole ? ", whole" : ", part") +
           (Streamed ? ", streamed" : ", buffered");
  }

  /// @brief Bytes that the server sends.
  [[nodiscard]] std::string answer() const {
    std::string Out = "HTTP/1.1 200 OK\r\nRequest-Id: " + FirstId +
                      "\r\nResponse-Signature: s\r\n";
    if (Framed == Framing::Length)
      Out += "Content-Length: " + std::to_string(FirstBody.size()) + "\r\n";
    if (Framed == Framing::Chunked)
      Out += "Transfer-Encoding: chunked\r\n";
    Out += "\r\n";
    if (Framed == Framing::Chunked)
      // 0xbb8 = 3000
      Out += "bb8\r\n" + FirstBody + "\r\n0\r\n\r\n";
    else
      Out += FirstBody;
    // Cuts the body in its middle, whatever the framing.
    if (!Whole)
      Out.resize(Out.size() - FirstBody.size() / 2);
    return Out;
  }

  // After a reset, nobody knows whether a body without a length is whole.
  [[nodiscard]] bool mustArrive() const {
    return Whole && (Framed != Framing::None || Ended == End::Close);
  }
};

/// @brief All cases of one framing. Without the part that ends with an orderly
/// close, if nothing else marks the end: by HTTP it is a whole response.
std::vector<Case> casesOf(Framing Framed) {
  std::vector<Case> Out;
  for (const End Ended : {End::Close, End::Reset})
    for (const When Sent : {When::BeforeBody, When::DuringWrite,
                            When::DuringBody, When::AfterBody})
      for (const bool Whole : {true, false})
        for (const bool Streamed : {true, false})
          if (Framed != Framing::None || Ended == End::Reset || Whole)
            Out.push_back({Framed, Ended, Sent, Whole, Streamed});
  return Out;
}

/// @brief More than the socket buffers of both sides take, so that a write
/// waits while the server does not read.
std::size_t uploadBytes(const Case &Each) {
  return Each.Sent == When::AfterBody ? 200000 : 8000000;
}

std::string upload(const Case &Each) {
  return "POST /tags/upload/1 HTTP/1.1\r\nHost: a\r\nRequest-Id: " + FirstId +
         "\r\nContent-Length: " + std::to_string(uploadBytes(Each)) +
         "\r\n\r\n" + std::string(uploadBytes(Each), 'u');
}

/// @brief Backend server that answers an upload as a case says, and other
/// requests in order.
class EarlyBackend {
public:
  explicit EarlyBackend(const Case &Each) : Each(Each) {}

  [[nodiscard]] std::string address() const { return Backend.address(); }

private:
  void serve(tcp::socket &Socket) {
    while (true) {
      std::string Bytes;
      boost::system::error_code Code;
      asio::read_until(Socket, asio::dynamic_buffer(Bytes), "\r\n\r\n", Code);
      if (Code)
        return;
      if (Bytes.starts_with("POST"))
        return answerUpload(Socket, Bytes.size());
      send(Socket, response("200 OK", SecondBody,
                            "Request-Id: " + SecondId +
                                "\r\nResponse-Signature: s\r\n"));
    }
  }

  void answerUpload(tcp::socket &Socket, std::size_t Received) {
    boost::system::error_code Code;
    std::vector<char> Part(65536);
    std::size_t Wanted = 0;
    if (Each.Sent == When::DuringBody)
      Wanted = uploadBytes(Each) / 4;
    if (Each.Sent == When::AfterBody)
      Wanted = uploadBytes(Each);
    while (Received < Wanted && !Code)
      Received += Socket.read_some(asio::buffer(Part), Code);
    if (Each.Sent == When::DuringWrite)
      std::this_thread::sleep_for(100ms);
    send(Socket, Each.answer());
    // Time for the VM to read the response, or to wait in a write.
    std::this_thread::sleep_for(50ms);
    if (Each.Ended == End::Reset) {
      Socket.set_option(asio::socket_base::linger(true, 0), Code);
      Socket.close(Code);
      return;
    }
    Socket.shutdown(tcp::socket::shutdown_send, Code);
    while (!Code)
      Socket.read_some(asio::buffer(Part), Code);
  }

  const Case Each;
  ScriptedBackend Backend{[this](tcp::socket &Socket, int) { serve(Socket); }};
};

Harness::Settings settingsFor(const Case &Each) {
  Harness::Settings Out;
  Out.Profile = &platform::httpProfile();
  for (const char *Prefix : {"/tags/upload/", "/tags/"})
    Out.Routes.push_back({.Name = Prefix,
                          .Host = "a",
                          .PathPrefix = Prefix,
                          .Idempotent = false,
                          .MaxAttempts = 1,
                          .TimeoutMs = 5000,
                          .ObjectiveMs = 5000,
                          .Services = {{.Service = "tags", .Weight = 1}}});
  Out.Options.MaxBufferedUploadBytes = 16777216;
  if (Each.Streamed)
    Out.Options.BufferedBodyBudget = 4096;
  return Out;
}

struct Received {
  unsigned Status = 0;
  std::string Body;
};

/// @brief The complete responses of a connection.
/// @param InOrder Whether the connection ended with an orderly close.
std::vector<Received> parseResponses(std::string Bytes, bool InOrder) {
  std::vector<Received> Out;
  while (!Bytes.empty()) {
    http::response_parser<http::string_body> Parser;
    Parser.eager(true);
    boost::system::error_code Code;
    const std::size_t Used =
        Parser.put(asio::const_buffer(Bytes.data(), Bytes.size()), Code);
    if (InOrder && !Code && Parser.need_eof())
      Parser.put_eof(Code);
    if (Code || !Parser.is_done())
      break;
    Bytes.erase(0, Used);
    Out.push_back({Parser.get().result_int(), Parser.get().body()});
  }
  return Out;
}

/// @brief Sends an upload and, behind it, a second request on the same
/// connection.
std::vector<Received> callTwice(const Case &Each) {
  EarlyBackend Backend(Each);
  Harness Fixture({Backend.address()}, settingsFor(Each));
  tcp::socket Caller = Fixture.connect();
  std::thread Writer([&] {
    send(Caller, upload(Each) +
                     "GET /tags/2 HTTP/1.1\r\nHost: a\r\nRequest-Id: " +
                     SecondId + "\r\nConnection: close\r\n\r\n");
  });
  std::string Bytes;
  boost::system::error_code Code;
  asio::read(Caller, asio::dynamic_buffer(Bytes), Code);
  Writer.join();
  return parseResponses(Bytes, Code == asio::error::eof);
}

void check(const Case &Each) {
  const std::vector<Received> Responses = callTwice(Each);
  const std::string Name = Each.name();
  cr_expect_leq(Responses.size(), 2, "%s", Name.c_str());
  bool FirstArrived = false;
  for (const Received &Response : Responses) {
    const bool IsFirst = &Response == &Responses.front();
    FirstArrived = FirstArrived || (IsFirst && Response.Status == 200);
    if (Response.Status == 200)
      cr_expect(Response.Body == (IsFirst ? FirstBody : SecondBody),
                "%s: %zu bytes", Name.c_str(), Response.Body.size());
  }
  cr_expect(FirstArrived || !Each.mustArrive(), "%s: response lost",
            Name.c_str());
}

} // namespace

// Guards against a truncated response that reaches the caller as complete, and
// against bytes of one response in another, when a server answers before it has
// read the upload.
Test(EarlyAnswer, response_with_a_length_is_whole_or_an_error, .timeout = 120) {
  for (const Case &Each : casesOf(Framing::Length))
    check(Each);
}

// As before, for a chunked response.
Test(EarlyAnswer, chunked_response_is_whole_or_an_error, .timeout = 120) {
  for (const Case &Each : casesOf(Framing::Chunked))
    check(Each);
}

// As before, for a response that ends with its connection: a reset, which the
// write of the upload may have met, is no end of it.
Test(EarlyAnswer, response_ended_by_its_connection_is_whole_or_an_error,
     .timeout = 120) {
  for (const Case &Each : casesOf(Framing::None))
    check(Each);
}
