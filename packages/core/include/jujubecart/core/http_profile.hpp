#ifndef JUJUBECART_CORE_HTTP_PROFILE_HPP
#define JUJUBECART_CORE_HTTP_PROFILE_HPP

#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/config.hpp>
#include <jujubecart/core/load_report.hpp>
#include <jujubecart/core/rate_limit.hpp>
#include <jujubecart/core/request_id.hpp>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jujubecart::core {

/// @brief Values read from the header fields of a caller's request.
struct RequestTraits {
  /// Set if the caller sent an id in the format of RequestId.
  std::optional<RequestId> Id;
  /// Id as the caller sent it; empty if it sent none.
  std::string CallerRequestId;
  std::optional<TimePoint> Deadline;
  std::string IdempotencyKey;
  std::string CallerId;
  /// API key as the caller sent it; empty if there is none or more than one.
  std::string ApiKey;
  /// Number of nested calls that led to this request.
  std::uint32_t Depth = 0;
};

/// @brief Values for the header fields of a request to a backend server.
struct OutgoingRequest {
  RequestId Id;
  const RequestTraits &Traits;
  TimePoint Deadline;
  const BackendServer &Server;
  /// Name of the caller's workspace; empty without one.
  std::string_view Workspace = {};
};

/// @brief Values read from the head of a backend server's response.
struct ResponseTraits {
  /// The server states that it did not execute the request.
  bool NotRun = false;
  bool Draining = false;
  /// Another server process than the expected one answered.
  bool OtherInstance = false;
  /// The response carries the id of another request.
  bool RequestIdMismatch = false;
  /// The response carries no id, although the request had one and servers
  /// repeat it.
  bool WithoutRequestId = false;
  /// Servers repeat the id of a request, but nothing in the response shows that
  /// it belongs to this one.
  bool Unattributed = false;
  /// Required header fields are missing.
  bool Invalid = false;
  std::optional<LoadReport> Load;
  /// Time for which the server wants no requests of this VM.
  std::optional<std::chrono::milliseconds> RetryAfter;
  /// Time for which the server stays cold, in responses to health checks.
  std::optional<std::chrono::milliseconds> ColdFor;
  /// Empty if the server states no valid limit.
  std::optional<RateLimit> Limit;
};

/// @brief A response that the entry VM generates itself (local reply).
struct Refusal {
  RequestId Id;
  unsigned Status = 503;
  /// The request was not executed and never will be.
  bool NotRun = false;
  /// Time after which the caller may retry.
  std::chrono::milliseconds RetryAfter{0};
};

/// @brief Maps header fields exchanged with callers and backend servers to
/// values and back.
class HttpProfile {
public:
  using Fields = boost::beast::http::fields;
  using ResponseHead = boost::beast::http::response_header<>;

  virtual ~HttpProfile() = default;

  /// @brief Reads the header fields of a caller's request.
  /// @param Time Clock, read as the time of arrival.
  /// @param Out Receives the values.
  /// @return Error message, or nothing if the fields are valid.
  [[nodiscard]] virtual std::optional<std::string_view>
  readRequest(const Fields &Head, const Clock &Time,
              RequestTraits &Out) const = 0;

  /// @brief Whether a field of the caller's request is not forwarded.
  /// @param HasWorkspaces Whether the configuration has workspaces, so that
  /// their API keys and names are not forwarded either.
  [[nodiscard]] virtual bool
  removesFromRequest(std::string_view Name,
                     bool HasWorkspaces) const noexcept = 0;

  /// @brief Appends the header fields that the profile adds to a request to a
  /// backend server.
  virtual void writeRequest(std::string &Out, const OutgoingRequest &Request,
                            const Clock &Time) const = 0;

  /// @brief Reads the head of a backend server's response.
  /// @param CallerRequestId Id as the caller sent it; empty if it sent none or
  /// for a health check.
  [[nodiscard]] virtual ResponseTraits
  readResponse(const ResponseHead &Head,
               std::string_view CallerRequestId) const = 0;

  /// @brief Whether a field of the server's response is not forwarded.
  [[nodiscard]] virtual bool
  removesFromResponse(std::string_view Name) const noexcept = 0;

  /// @brief Appends the header fields that the profile adds to a forwarded
  /// response.
  virtual void writeResponse(std::string &Out, RequestId Id) const = 0;

  /// @brief Appends the header fields that the profile adds to a response that
  /// the entry VM generates itself.
  virtual void writeRefusal(std::string &Out,
                            const Refusal &Response) const = 0;

  /// @brief Whether callers take a status for the statement that their request
  /// has not run and never will.
  [[nodiscard]] virtual bool promisesNotRun(unsigned Status) const noexcept = 0;

  /// @brief Whether a field of the server's response holds only together with
  /// the status of that response.
  [[nodiscard]] virtual bool
  dependsOnStatus(std::string_view Name) const noexcept = 0;

  /// @brief Whether the end of the connection may mark the end of a response
  /// body without Content-Length or chunked encoding.
  [[nodiscard]] virtual bool acceptsUnframedResponses() const noexcept = 0;
};

/// @brief Profile with the header fields of docs/callers.md.
[[nodiscard]] const HttpProfile &nativeHttpProfile() noexcept;

} // namespace jujubecart::core

#endif
