#include "answer.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>
#include <jujubecart/core/http_rules.hpp>

namespace jujubecart::callers::internal {

namespace {

// Fields that are set here, or that only mean something between a backend
// server and an entry VM. A backend server's X-Outcome could be one that it
// received from a call of its own, so only the system states outcomes.
bool isReplaced(std::string_view Name) {
  static constexpr std::array<std::string_view, 5> Names{
      "content-length", "x-request-id", "x-outcome", "x-load", "x-drain"};
  return std::any_of(Names.begin(), Names.end(), [&](std::string_view Known) {
    return core::equalsIgnoreCase(Known, Name);
  });
}

void appendStatus(std::string &Out, unsigned Status, std::string_view Reason) {
  Out.append("HTTP/1.1 ").append(std::to_string(Status));
  Out.append(" ").append(Reason).append("\r\n");
}

} // namespace

std::string ownAnswer(const OwnAnswer &What) {
  std::string Out;
  Out.reserve(256);
  appendStatus(Out, What.Status,
               boost::beast::http::obsolete_reason(
                   static_cast<boost::beast::http::status>(What.Status)));
  core::appendField(Out, "Content-Type", "text/plain");
  core::appendField(Out, "Content-Length",
                    std::to_string(What.Text.size() + 1));
  core::appendField(Out, "X-Request-Id", core::toString(What.Id));
  core::appendField(Out, "X-Outcome", What.NotRun ? "not-run" : "unknown");
  if (What.Status == 503)
    core::appendField(Out, "Retry-After",
                      std::to_string(What.RetryAfter.count()));
  if (What.Status == 405)
    core::appendField(Out, "Allow",
                      "GET, HEAD, OPTIONS, POST, PUT, PATCH, DELETE");
  if (What.Close)
    core::appendField(Out, "Connection", "close");
  else if (What.Http10)
    core::appendField(Out, "Connection", "keep-alive");
  Out.append("\r\n");
  if (!What.IsHead)
    Out.append(What.Text).append("\n");
  return Out;
}

std::string passedHead(const core::BackendExchange::Head &Original,
                       core::RequestId Id, const BodyFraming &Framing,
                       std::string_view Connection) {
  constexpr std::size_t TypicalHead = 512;
  std::string Out;
  Out.reserve(TypicalHead);
  appendStatus(Out, Original.result_int(), Original.reason());
  const std::string Options = core::connectionOptions(Original);
  for (const auto &Field : Original) {
    const std::string_view Name = Field.name_string();
    if (!isReplaced(Name) && !core::isHopByHop(Name, Options))
      core::appendField(Out, Name, Field.value());
  }
  core::appendField(Out, "X-Request-Id", core::toString(Id));
  if (Framing.Length)
    core::appendField(Out, "Content-Length", std::to_string(*Framing.Length));
  else if (Framing.Chunked)
    core::appendField(Out, "Transfer-Encoding", "chunked");
  if (!Connection.empty())
    core::appendField(Out, "Connection", Connection);
  return Out.append("\r\n");
}

} // namespace jujubecart::callers::internal
