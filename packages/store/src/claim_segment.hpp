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

/// @brief One record of the claim log.
struct ClaimRecord {
  core::OrderKey Key;
  core::RequestId Request;
  /// Unix seconds after which the claim may be forgotten.
  std::uint64_t ExpiresS = 0;
  /// The request certainly was not run; the key is free again.
  bool Released = false;

  friend auto operator<=>(const ClaimRecord &, const ClaimRecord &) = default;
};

/// @brief Value of `claims/<service>/head`.
struct ClaimHead {
  /// Number under which the records of this head will become a segment.
  std::uint64_t Sequence = 1;
  /// Oldest segment that may hold claims that have not expired.
  std::uint64_t First = 1;
  /// Writer and nonce of the last batch.
  std::string Writer;
  std::uint64_t Nonce = 0;
  std::vector<ClaimRecord> Records;
};

[[nodiscard]] std::string writeClaimHead(const ClaimHead &Head);
[[nodiscard]] core::Result<ClaimHead> readClaimHead(std::string_view Text);

/// @brief Writes the records of a full head as a segment.
[[nodiscard]] std::string writeSegment(const std::vector<ClaimRecord> &Records);
[[nodiscard]] core::Result<std::vector<ClaimRecord>>
readSegment(std::string_view Text);

/// @brief Size of records in a head; the same on every VM.
[[nodiscard]] std::size_t
encodedSize(const std::vector<ClaimRecord> &Records) noexcept;

} // namespace jujubecart::store::internal

#endif
