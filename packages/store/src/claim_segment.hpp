#ifndef JUJUBECART_STORE_SRC_CLAIM_SEGMENT_HPP
#define JUJUBECART_STORE_SRC_CLAIM_SEGMENT_HPP

#include <jujubecart/core/error.hpp>
#include <jujubecart/core/hash.hpp>
#include <jujubecart/core/request_id.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jujubecart::store::internal {

/// @brief One record of the claim log: a claim of a key or its release.
struct ClaimRecord {
  core::OrderKey Key;
  core::RequestId Request;
  /// Unix seconds after which the claim may be forgotten.
  std::uint64_t ExpiresS = 0;
  /// Whether this record releases the key because the request certainly was
  /// not run.
  bool Released = false;

  friend auto operator<=>(const ClaimRecord &, const ClaimRecord &) = default;
};

/// @brief Value of the key `claims/<service>/head`: the newest records of the
/// log. Older records are in the segments `claims/<service>/<number>`.
struct ClaimHead {
  /// Number of the segment to which the records of this head will be moved.
  std::uint64_t Sequence = 1;
  /// Number of the oldest segment that may hold unexpired claims; equals
  /// Sequence if there is none.
  std::uint64_t FirstSegment = 1;
  /// VM id and nonce of the batch that was written last; recorded for
  /// diagnosis, never compared.
  std::string Writer;
  std::uint64_t Nonce = 0;
  std::vector<ClaimRecord> Records;
};

/// @brief Encodes a head as JSON text.
[[nodiscard]] std::string writeClaimHead(const ClaimHead &Head);
/// @brief Decodes the format of @ref writeClaimHead.
/// @return The head or Malformed.
[[nodiscard]] core::Result<ClaimHead> readClaimHead(std::string_view Text);

/// @brief Encodes the records of a full head as the value of a segment.
[[nodiscard]] std::string writeSegment(const std::vector<ClaimRecord> &Records);
/// @brief Decodes the format of @ref writeSegment.
/// @return The records or Malformed.
[[nodiscard]] core::Result<std::vector<ClaimRecord>>
readSegment(std::string_view Text);

/// @brief Size of encoded records in bytes, computed from their number so that
/// every VM gets the same result.
[[nodiscard]] std::size_t
encodedSize(const std::vector<ClaimRecord> &Records) noexcept;

} // namespace jujubecart::store::internal

#endif
