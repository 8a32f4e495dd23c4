#ifndef JUJUBECART_CORE_HTTP_PROFILE_HPP
#define JUJUBECART_CORE_HTTP_PROFILE_HPP

#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/config.hpp>
#include <jujubecart/core/load_report.hpp>
#include <jujubecart/core/request_id.hpp>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jujubecart::core {

/// @brief What the header fields of a request state.
struct RequestTraits {
  /// Set if the caller chose the id.
  std::optional<RequestId> Id;
  /// Id as the caller sent it; empty if it sent none.
  std::string CallerRequestId;
  std::optional<TimePoint> Deadline;
  std::string IdempotencyKey;
  std::string CallerId;
  std::uint32_t Depth = 0;
};

/// @brief A request on its way to a backend server.
struct OutgoingRequest {
  RequestId Id;
  const RequestTraits &Traits;
  TimePoint Deadline;
  const BackendServer &Server;
};

/// @brief What the head of a backend server's response states.
struct ResponseTraits {
  /// The backend server certainly did not run the request.
  bool NotRun = false;
  bool Draining = false;
  /// Another process than the expected one answered.
  bool OtherInstance = false;
  /// The response belongs to another request.
  bool Foreign = false;
  /// It lacks what every response of a backend server has.
  bool Invalid = false;
  std::optional<LoadReport> Load;
};

/// @brief A response that the system generates itself.
struct Refusal {
  RequestId Id;
  unsigned Status = 503;
  /// The request was not run and never will be.
  bool NotRun = false;
  std::chrono::milliseconds RetryAfter{0};
};

/// @brief Meaning of the header fields towards callers and backend servers.
class HttpProfile {
public:
  using Fields = boost::beast::http::fields;
  using ResponseHead = boost::beast::http::response_header<>;

  virtual ~HttpProfile() = default;

  /// @brief Reads the fields of a request.
  /// @param Now Instant of its arrival.
  /// @return What is malformed, or nothing.
  [[nodiscard]] virtual std::optional<std::string_view>
  readRequest(const Fields &Head, const Clock &Time,
              RequestTraits &Out) const = 0;

  /// @brief Whether a field of a request is not passed on.
  [[nodiscard]] virtual bool
  replacesInRequest(std::string_view Name) const noexcept = 0;

  /// @brief Appends the fields of a request to a backend server.
  virtual void writeRequest(std::string &Out, const OutgoingRequest &What,
                            const Clock &Time) const = 0;

  /// @brief Reads the head of a response.
  /// @param CallerRequestId As in RequestTraits.
  [[nodiscard]] virtual ResponseTraits
  readResponse(const ResponseHead &Head,
               std::string_view CallerRequestId) const = 0;

  /// @brief Whether a field of a response is not passed on.
  [[nodiscard]] virtual bool
  replacesInResponse(std::string_view Name) const noexcept = 0;

  /// @brief Appends the fields of a response that is passed on.
  virtual void writeResponse(std::string &Out, RequestId Id) const = 0;

  /// @brief Appends the fields of a response that the system generates.
  virtual void writeRefusal(std::string &Out, const Refusal &What) const = 0;

  /// @brief Whether a response may end with its connection.
  [[nodiscard]] virtual bool acceptsUnframedResponses() const noexcept = 0;
};

/// @brief The fields of docs/callers.md.
[[nodiscard]] const HttpProfile &nativeHttpProfile() noexcept;

} // namespace jujubecart::core

#endif
