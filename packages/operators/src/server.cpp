#include <jujubecart/operators/server.hpp>

#include <jujubecart/core/log.hpp>

#include <charconv>
#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>
#include <istream>
#include <nlohmann/json.hpp>
#include <thread>

namespace jujubecart::operators {

namespace internal {

// Limit of a ticket. Services with about 10,000 backend servers of 120 bytes
// each must fit.
constexpr std::size_t MaxBodyBytes = 4U << 20U;
constexpr unsigned MaxThreads = 8;
// Verification level of cxxtools that rejects clients without a certificate.
constexpr int RequireClientCertificate = 2;
const std::string TicketPrefix = "/tickets/";

Response errorResponse(unsigned Status, const std::string &Message) {
  return Response{.Status = Status,
                  .Body = nlohmann::json{{"error", Message}}.dump() + "\n"};
}

class EndpointResponder final : public cxxtools::http::Responder {
public:
  EndpointResponder(cxxtools::http::Service &Owner, Api &Endpoints)
      : Responder(Owner), Endpoints(Endpoints) {}

  void beginRequest(cxxtools::net::TcpSocket & /*Socket*/,
                    std::istream & /*In*/,
                    cxxtools::http::Request & /*Request*/) override {
    Body.clear();
    Oversized = false;
  }

  std::size_t readBody(std::istream &In) override {
    std::size_t Count = 0;
    while (In.rdbuf()->in_avail() > 0) {
      const int Character = In.get();
      if (Character == std::istream::traits_type::eof())
        break;
      ++Count;
      if (Body.size() < MaxBodyBytes)
        Body += static_cast<char>(Character);
      else
        Oversized = true;
    }
    return Count;
  }

  void reply(std::ostream &Out, cxxtools::http::Request &Request,
             cxxtools::http::Reply &Reply) override {
    Response Result;
    try {
      Result = dispatch(Request);
    } catch (const std::exception &Failure) {
      core::LogLine(core::LogLevel::Error, "operators.request_failed")
          .field("url", Request.url())
          .field("error", Failure.what());
      Result = errorResponse(500, Failure.what());
    }
    Reply.httpReturn(Result.Status, Result.Status == 200 ? "OK" : "Error");
    Reply.setHeader("Content-Type", Result.ContentType.c_str());
    Reply.setHeader("Cache-Control", "no-store");
    Out << Result.Body;
  }

private:
  [[nodiscard]] Response dispatch(const cxxtools::http::Request &Request) {
    const std::string &Url = Request.url();
    if (Url == "/tickets")
      return submit(Request);
    if (Request.method() != "GET")
      return errorResponse(405, "method " + Request.method() + " not allowed");
    if (Url.compare(0, TicketPrefix.size(), TicketPrefix) == 0)
      return show(Url.substr(TicketPrefix.size()));
    if (Url == "/services")
      return Endpoints.services();
    if (Url == "/status")
      return Endpoints.status();
    if (Url == "/timeline")
      return Endpoints.timeline(parseTimelineQuery(Request.qparams()));
    if (Url == "/explain")
      return explain(Request.qparams());
    if (Url == "/metrics")
      return Endpoints.metrics();
    if (Url == "/ready")
      return Endpoints.readiness();
    return errorResponse(404, "no endpoint " + Url);
  }

  [[nodiscard]] Response submit(const cxxtools::http::Request &Request) {
    if (Request.method() != "POST")
      return errorResponse(405, "use POST to submit a ticket");
    if (Oversized)
      return errorResponse(413, "ticket exceeds " +
                                    std::to_string(MaxBodyBytes) + " bytes");
    return Endpoints.submitTicket(Body);
  }

  [[nodiscard]] Response show(const std::string &Text) {
    std::uint64_t Number = 0;
    const char *End = Text.data() + Text.size();
    const auto [Last, Code] = std::from_chars(Text.data(), End, Number);
    if (Code != std::errc() || Last != End || Number == 0)
      return errorResponse(400, "ticket number must be a positive integer");
    return Endpoints.showTicket(Number);
  }

  [[nodiscard]] Response explain(const std::string &Text) {
    const ParsedExplainQuery Parsed = parseExplainQuery(Text);
    return Parsed.Problem.empty() ? Endpoints.explain(Parsed.Query)
                                  : errorResponse(400, Parsed.Problem);
  }

  Api &Endpoints;
  std::string Body;
  bool Oversized = false;
};

class EndpointService final : public cxxtools::http::CachedServiceBase {
public:
  explicit EndpointService(Api &Endpoints) : Endpoints(Endpoints) {}

private:
  cxxtools::http::Responder *newResponder() override {
    return new EndpointResponder(*this, Endpoints);
  }

  Api &Endpoints;
};

} // namespace internal

class Server::Implementation {
public:
  Implementation(const std::string &Address, std::uint16_t Port,
                 const TlsFiles &Tls, Api &Endpoints)
      : Service(Endpoints), Http(Loop) {
    Http.maxThreads(internal::MaxThreads);
    if (Tls.enabled())
      Http.listen(Address, Port, Tls.Certificate, Tls.Key,
                  internal::RequireClientCertificate, Tls.Ca);
    else
      Http.listen(Address, Port);
    Http.addService(cxxtools::Regex("^/"), Service);
    Thread = std::thread([this] { Loop.run(); });
  }
  Implementation(const Implementation &) = delete;
  Implementation &operator=(const Implementation &) = delete;

  ~Implementation() {
    Loop.exit();
    Thread.join();
  }

private:
  cxxtools::EventLoop Loop;
  internal::EndpointService Service;
  cxxtools::http::Server Http;
  std::thread Thread;
};

Server::Server(const std::string &Address, std::uint16_t Port,
               const TlsFiles &Tls, Api &Endpoints)
    : Internals(
          std::make_unique<Implementation>(Address, Port, Tls, Endpoints)) {}

Server::~Server() = default;

} // namespace jujubecart::operators
