#ifndef JUJUBECART_CALLERS_SRC_ANSWER_HPP
#define JUJUBECART_CALLERS_SRC_ANSWER_HPP

#include <jujubecart/core/backend_transport.hpp>
#include <jujubecart/core/http_profile.hpp>
#include <jujubecart/core/request_id.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jujubecart::callers::internal {

/// @brief A response that this server generates itself.
struct LocalResponse {
  core::Refusal Refusal;
  /// Whether the connection closes after the response.
  bool Close = false;
  /// Whether the request's method is HEAD, so that no body is sent.
  bool IsHead = false;
  /// Whether the request uses HTTP/1.0, where keep-alive is not the default.
  bool Http10 = false;
  /// Body; a newline is appended.
  std::string_view Text;
};

/// @brief Serializes head and body.
[[nodiscard]] std::string
serializeLocalResponse(const LocalResponse &Response,
                       const core::HttpProfile &Profile);

/// @brief How a response body is delimited. If there is neither a length nor
/// chunked encoding, the response has no body or ends with the connection.
struct BodyFraming {
  std::optional<std::uint64_t> Length;
  bool Chunked = false;
};

/// @brief Serializes the head of a backend server's response for the caller.
/// @param Original Head as received from the backend server.
/// @param Status Status for the caller. If it is not that of the backend
/// server, the fields that depend on the status are left out.
/// @param Id Request id that the caller is told.
/// @param Profile Decides which fields are removed or added.
/// @param Framing Framing of the body sent to the caller.
/// @param Connection Value of the field `Connection`; empty omits the field.
[[nodiscard]] std::string
serializeResponseHead(const core::BackendExchange::Head &Original,
                      unsigned Status, core::RequestId Id,
                      const core::HttpProfile &Profile,
                      const BodyFraming &Framing, std::string_view Connection);

} // namespace jujubecart::callers::internal

#endif
