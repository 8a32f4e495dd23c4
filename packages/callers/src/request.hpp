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

/// @brief Why a request is answered here.
struct Fault {
  unsigned Status = 400;
  RejectReason Reason = RejectReason::Malformed;
  std::string_view Text;
};

/// @brief What the head of a request means.
struct Request {
  core::RequestId Id;
  std::string Method;
  /// Origin form.
  std::string Target;
  /// Authority as it is forwarded.
  std::string Authority;
  /// Lower case, without port.
  std::string Host;
  core::RequestTraits Traits;
  core::BackendRequest::Framing Body = core::BackendRequest::Framing::None;
  std::uint64_t ContentLength = 0;
  bool KeepAlive = true;
  bool Http10 = false;
  bool ExpectsContinue = false;

  [[nodiscard]] bool isHead() const noexcept { return Method == "HEAD"; }

  /// @brief Whether HTTP defines the method as safe to repeat.
  [[nodiscard]] bool hasSafeMethod() const noexcept {
    return Method == "GET" || Method == "HEAD" || Method == "OPTIONS";
  }
};

/// @brief Interprets a head.
/// @param Parser Parser that has read the head.
/// @param Profile Meaning of the header fields.
/// @param Out Filled in as far as possible.
/// @return Why the request cannot be forwarded, if so.
[[nodiscard]] std::optional<Fault>
interpret(const core::HttpReader<true>::Parser &Parser,
          const core::HttpProfile &Profile, const core::Clock &Time,
          Request &Out);

/// @brief Serializes the part of the head that all attempts share, without
/// the empty line at its end.
/// @param Original Head as received.
/// @param What Its meaning.
/// @param Profile Names the fields that are not passed on.
[[nodiscard]] std::string forwardedHead(const Message &Original,
                                        const Request &What,
                                        const core::HttpProfile &Profile);

} // namespace jujubecart::callers::internal

#endif
