#ifndef JUJUBECART_PEERS_FRAME_CODEC_HPP
#define JUJUBECART_PEERS_FRAME_CODEC_HPP

#include <jujubecart/peers/message.hpp>

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jujubecart::peers {

/// @brief One message with the fields that every frame carries.
struct Frame {
  std::uint64_t Sequence = 0;
  /// Hybrid logical time of the sender.
  std::uint64_t Time = 0;
  Message Body;
  /// Bytes on the wire, the length included; set by decoding.
  std::size_t Size = 0;
};

/// @brief What FrameCodec::next found.
enum class FrameState : std::uint8_t { Incomplete, Ready, Invalid };

/// @brief Encodes frames and decodes a byte stream into frames.
class FrameCodec {
public:
  static constexpr std::size_t LengthBytes = 4;
  static constexpr std::size_t MaxBody = std::size_t{1} << 20;
  static constexpr std::uint16_t Version = 1;

  /// @brief Appends a frame to a buffer.
  /// @param Item The frame.
  /// @param Out Receives the bytes; unchanged on failure.
  /// @return Malformed if the frame exceeds the size limit.
  [[nodiscard]] static core::Result<std::size_t>
  encode(const Frame &Item, std::vector<std::byte> &Out);

  /// @brief Adds received bytes.
  void feed(std::span<const std::byte> Bytes);

  /// @brief Takes the next complete frame.
  /// @param Out Receives the frame.
  /// @return Ready if there was one; once Invalid, always Invalid.
  [[nodiscard]] FrameState next(Frame &Out);

  /// @brief Why the stream is invalid; empty if it is valid.
  [[nodiscard]] std::string_view reason() const noexcept { return Reason; }

private:
  [[nodiscard]] FrameState fail(std::string_view Why);

  std::vector<std::byte> Buffer;
  std::vector<std::uint64_t> Aligned;
  std::size_t Begin = 0;
  std::uint64_t LastSequence = 0;
  std::string_view Reason;
};

} // namespace jujubecart::peers

#endif
