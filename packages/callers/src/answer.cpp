#include "answer.hpp"

#include <boost/beast/http/status.hpp>
#include <jujubecart/core/http_rules.hpp>

namespace jujubecart::callers::internal {

namespace {

std::string_view standardReason(unsigned Status) {
  return boost::beast::http::obsolete_reason(
      static_cast<boost::beast::http::status>(Status));
}

void appendStatus(std::string &Out, unsigned Status, std::string_view Reason) {
  Out.append("HTTP/1.1 ").append(std::to_string(Status));
  Out.append(" ").append(Reason).append("\r\n");
}

} // namespace

std::string serializeLocalResponse(const LocalResponse &Response,
                                   const core::HttpProfile &Profile) {
  constexpr unsigned MethodNotAllowed = 405;
  const unsigned Status = Response.Refusal.Status;
  std::string Out;
  Out.reserve(256);
  appendStatus(Out, Status, standardReason(Status));
  core::appendField(Out, "Content-Type", "text/plain");
  core::appendField(Out, "Content-Length",
                    std::to_string(Response.Text.size() + 1));
  Profile.writeRefusal(Out, Response.Refusal);
  if (Status == MethodNotAllowed)
    core::appendField(Out, "Allow",
                      "GET, HEAD, OPTIONS, POST, PUT, PATCH, DELETE");
  if (Response.Close)
    core::appendField(Out, "Connection", "close");
  else if (Response.Http10)
    core::appendField(Out, "Connection", "keep-alive");
  Out.append("\r\n");
  if (!Response.IsHead)
    Out.append(Response.Text).append("\n");
  return Out;
}

std::string serializeResponseHead(const core::BackendExchange::Head &Original,
                                  unsigned Status, core::RequestId Id,
                                  const core::HttpProfile &Profile,
                                  const BodyFraming &Framing,
                                  std::string_view Connection) {
  constexpr std::size_t TypicalHead = 512;
  std::string Out;
  Out.reserve(TypicalHead);
  const bool Replaced = Status != Original.result_int();
  if (Replaced)
    appendStatus(Out, Status, standardReason(Status));
  else
    appendStatus(Out, Status, Original.reason());
  const std::string Options = core::connectionOptions(Original);
  for (const auto &Field : Original) {
    const std::string_view Name = Field.name_string();
    if (!core::equalsIgnoreCase(Name, "content-length") &&
        !Profile.removesFromResponse(Name) &&
        !(Replaced && Profile.dependsOnStatus(Name)) &&
        !core::isHopByHop(Name, Options))
      core::appendField(Out, Name, Field.value());
  }
  Profile.writeResponse(Out, Id);
  if (Framing.Length)
    core::appendField(Out, "Content-Length", std::to_string(*Framing.Length));
  else if (Framing.Chunked)
    core::appendField(Out, "Transfer-Encoding", "chunked");
  if (!Connection.empty())
    core::appendField(Out, "Connection", Connection);
  return Out.append("\r\n");
}

} // namespace jujubecart::callers::internal
