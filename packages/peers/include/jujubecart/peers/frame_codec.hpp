#ifndef JUJUBECART_PEERS_FRAME_CODEC_HPP
#define JUJUBECART_PEERS_FRAME_CODEC_HPP

#include <jujubecart/peers/message.hpp>

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jujubecart::peers {

/// @brief A message with the sequence number and timestamp of its frame.
struct Frame {
  /// Strictly increasing on a link, starting at 1.
  std::uint64_t Sequence = 0;
  /// Hybrid logical clock of the sender when the frame was encoded.
  std::uint64_t Time = 0;
  Message Body;
  /// Bytes on the wire with the length prefix; set by FrameCodec::next().
  std::size_t Size = 0;
};

/// @brief Result of FrameCodec::next(). Incomplete: more bytes are needed.
enum class DecodeStatus : std::uint8_t { Incomplete, Ready, Invalid };

/// @brief Encodes frames and decodes a byte stream into frames. A frame is a
/// little-endian 32-bit length and a FlatBuffers envelope of that length.
/// Decoding is not thread-safe: use one codec per connection.
class FrameCodec {
public:
  static constexpr std::size_t LengthPrefixBytes = 4;
  /// Largest envelope in bytes, the length prefix not included.
  static constexpr std::size_t MaxBodyBytes = std::size_t{1} << 20;
  /// Frames of any other version are rejected.
  static constexpr std::uint16_t ProtocolVersion = 1;

  /// @brief Appends an encoded frame to a buffer; safe from any thread.
  /// @param Out Receives the bytes; unchanged on failure.
  /// @return Number of bytes appended, or Malformed if the envelope exceeds
  /// MaxBodyBytes.
  [[nodiscard]] static core::Result<std::size_t>
  encode(const Frame &Value, std::vector<std::byte> &Out);

  /// @brief Appends received bytes to the decode buffer; any split is valid.
  void feed(std::span<const std::byte> Bytes);

  /// @brief Decodes the next complete frame and removes it from the buffer.
  /// @param Out Set only if the result is Ready.
  /// @return After the first Invalid, every further call returns Invalid.
  [[nodiscard]] DecodeStatus next(Frame &Out);

  /// @brief Why decoding failed; empty as long as the stream is valid.
  [[nodiscard]] std::string_view reason() const noexcept { return Reason; }

private:
  [[nodiscard]] DecodeStatus fail(std::string_view Why);

  std::vector<std::byte> Buffer;
  // Copy of the current frame, aligned to 8 bytes.
  std::vector<std::uint64_t> AlignedFrame;
  // Start of the first frame in Buffer that is not yet decoded.
  std::size_t ReadOffset = 0;
  std::uint64_t LastSequence = 0;
  std::string_view Reason;
};

} // namespace jujubecart::peers

#endif
