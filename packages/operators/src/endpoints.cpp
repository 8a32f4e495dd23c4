#include "endpoints.hpp"

#include <jujubecart/core/log.hpp>

#include <charconv>
#include <cstdint>
#include <exception>
#include <nlohmann/json.hpp>
#include <string_view>

namespace jujubecart::operators::internal {

namespace {

constexpr std::string_view TicketPrefix = "/tickets/";

Response submitTicket(Api &Endpoints, const Request &From) {
  if (From.Method != "POST")
    return errorResponse(405, "use POST to submit a ticket");
  if (From.Oversized)
    return errorResponse(413, "ticket exceeds " + std::to_string(MaxBodyBytes) +
                                  " bytes");
  return Endpoints.submitTicket(From.Body);
}

Response showTicket(Api &Endpoints, std::string_view Text) {
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto [Last, Code] = std::from_chars(Text.data(), End, Number);
  if (Code != std::errc() || Last != End || Number == 0)
    return errorResponse(400, "ticket number must be a positive integer");
  return Endpoints.showTicket(Number);
}

Response explain(Api &Endpoints, std::string_view Text) {
  const ParsedExplainQuery Parsed = parseExplainQuery(Text);
  return Parsed.Problem.empty() ? Endpoints.explain(Parsed.Query)
                                : errorResponse(400, Parsed.Problem);
}

Response callEndpoint(Api &Endpoints, const Request &From) {
  const std::string_view Target = From.Target;
  const std::size_t PathSize = std::min(Target.find('?'), Target.size());
  const std::string_view Path = Target.substr(0, PathSize);
  const std::string_view Query =
      Target.substr(std::min(PathSize + 1, Target.size()));
  if (Path == "/tickets")
    return submitTicket(Endpoints, From);
  if (From.Method != "GET")
    return errorResponse(405, "method " + From.Method + " not allowed");
  if (Path.starts_with(TicketPrefix))
    return showTicket(Endpoints, Path.substr(TicketPrefix.size()));
  if (Path == "/services")
    return Endpoints.services();
  if (Path == "/status")
    return Endpoints.status();
  if (Path == "/timeline")
    return Endpoints.timeline(parseTimelineQuery(Query));
  if (Path == "/explain")
    return explain(Endpoints, Query);
  if (Path == "/metrics")
    return Endpoints.metrics();
  if (Path == "/ready")
    return Endpoints.readiness();
  return errorResponse(404, "no endpoint " + std::string(Path));
}

} // namespace

Response errorResponse(unsigned Status, const std::string &Message) {
  // The message can quote bytes of the request that are no UTF-8.
  return Response{
      .Status = Status,
      .Body = nlohmann::json{{"error", Message}}.dump(
                  -1, ' ', false, nlohmann::json::error_handler_t::replace) +
              "\n"};
}

Response handleRequest(Api &Endpoints, const Request &From) {
  try {
    return callEndpoint(Endpoints, From);
  } catch (const std::exception &Failure) {
    // The query can hold the digest of an API key.
    core::LogLine(core::LogLevel::Error, "operators.request_failed")
        .field("url", From.Target.substr(0, From.Target.find('?')))
        .field("error", Failure.what());
    return errorResponse(500, Failure.what());
  }
}

} // namespace jujubecart::operators::internal
