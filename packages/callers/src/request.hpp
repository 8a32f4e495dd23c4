#ifndef JUJUBECART_CALLERS_SRC_REQUEST_HPP
#define JUJUBECART_CALLERS_SRC_REQUEST_HPP

#include <jujubecart/callers/server_counters.hpp>
#include <jujubecart/core/backend_transport.hpp>
#include <jujubecart/core/http_profile.hpp>
#include <jujubecart/core/http_reader.hpp>
#include <jujubecart/core/request_id.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jujubecart::callers::internal {

using Message = core::HttpReader<true>::Message;

/// Status of a request that a backend server may have run; it promises nothing.
constexpr unsigned BadGateway = 502;

/// @brief Response of this server to a request that it does not forward or
/// whose attempts all failed.
struct Rejection {
  unsigned Status = 400;
  RejectReason Reason = RejectReason::Malformed;
  std::string_view Text;
};

/// @brief Parsed and validated head of a request.
struct ParsedRequest {
  core::RequestId Id;
  std::string Method;
  /// Request target in origin form, or `*`.
  std::string Target;
  /// Authority that is forwarded as `Host`.
  std::string Authority;
  /// Host of the authority in lower case, without port.
  std::string Host;
  /// Values of the profile's header fields.
  core::RequestTraits Traits;
  core::BackendRequest::Framing Body = core::BackendRequest::Framing::None;
  /// Bytes; used with Framing::Length only.
  std::uint64_t ContentLength = 0;
  bool KeepAlive = true;
  bool Http10 = false;
  /// Whether the caller waits for `100 Continue` before it sends the body.
  bool ExpectsContinue = false;

  [[nodiscard]] bool isHead() const noexcept { return Method == "HEAD"; }

  /// @brief Whether HTTP defines the method as safe, so that the request
  /// may be repeated.
  [[nodiscard]] bool hasSafeMethod() const noexcept {
    return Method == "GET" || Method == "HEAD" || Method == "OPTIONS";
  }
};

/// @brief Parses and validates the head of a request.
/// @param Parser Parser that has read the head.
/// @param Profile Parses the header fields that are specific to it.
/// @param Out Filled up to the first error.
/// @return The rejection of an invalid request, otherwise nothing.
[[nodiscard]] std::optional<Rejection>
parseRequestHead(const core::HttpReader<true>::Parser &Parser,
                 const core::HttpProfile &Profile, const core::Clock &Time,
                 ParsedRequest &Out);

/// @brief Serializes the part of the forwarded head that is the same in all
/// attempts, without the final empty line.
/// @param Original Head as received from the caller.
/// @param Request Parsed form of the head.
/// @param Profile Decides which fields are not forwarded.
/// @param HasWorkspaces Whether the configuration has workspaces.
[[nodiscard]] std::string
serializeForwardedHead(const Message &Original, const ParsedRequest &Request,
                       const core::HttpProfile &Profile, bool HasWorkspaces);

} // namespace jujubecart::callers::internal

#endif
