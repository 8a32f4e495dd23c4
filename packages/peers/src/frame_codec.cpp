#include <jujubecart/peers/frame_codec.hpp>

#include "frame_encoder.hpp"

#include <cstring>

namespace jujubecart::peers {

namespace internal {

std::size_t readLength(const std::uint8_t *Bytes) noexcept {
  return Bytes[0] | (Bytes[1] << 8U) | (Bytes[2] << 16U) |
         (std::size_t{Bytes[3]} << 24U);
}

} // namespace internal

core::Result<std::size_t> FrameCodec::encode(const Frame &Value,
                                             std::vector<std::byte> &Out) {
  // One builder per thread is reused, so that encoding does not allocate once
  // its buffer has grown.
  thread_local flatbuffers::FlatBufferBuilder Builder(1024);
  Builder.Clear();
  const auto [Type, Body] = internal::encodeBody(Builder, Value.Body);
  wire::EnvelopeBuilder Envelope(Builder);
  Envelope.add_sequence(Value.Sequence);
  Envelope.add_time(Value.Time);
  Envelope.add_body(Body);
  Envelope.add_body_type(Type);
  Builder.FinishSizePrefixed(Envelope.Finish());
  if (Builder.GetSize() > MaxBodyBytes + LengthPrefixBytes)
    return core::make_error_code(core::Error::Malformed);
  const auto Bytes =
      std::as_bytes(std::span(Builder.GetBufferPointer(), Builder.GetSize()));
  Out.insert(Out.end(), Bytes.begin(), Bytes.end());
  return Bytes.size();
}

void FrameCodec::feed(std::span<const std::byte> Bytes) {
  if (ReadOffset == Buffer.size()) {
    Buffer.clear();
    ReadOffset = 0;
  }
  Buffer.insert(Buffer.end(), Bytes.begin(), Bytes.end());
}

DecodeStatus FrameCodec::fail(std::string_view Why) {
  Reason = Why;
  return DecodeStatus::Invalid;
}

DecodeStatus FrameCodec::next(Frame &Out) {
  if (!Reason.empty())
    return fail(Reason);
  const std::span<const std::byte> Rest = std::span(Buffer).subspan(ReadOffset);
  if (Rest.size() < LengthPrefixBytes)
    return DecodeStatus::Incomplete;
  const auto *Start = reinterpret_cast<const std::uint8_t *>(Rest.data());
  const std::size_t Length = internal::readLength(Start);
  if (Length > MaxBodyBytes)
    return fail("frame too large");
  if (Rest.size() < LengthPrefixBytes + Length) {
    if (ReadOffset > 0) {
      Buffer.erase(Buffer.begin(),
                   Buffer.begin() + static_cast<std::ptrdiff_t>(ReadOffset));
      ReadOffset = 0;
    }
    return DecodeStatus::Incomplete;
  }
  // FlatBuffers reads scalars in place, so the frame must be aligned.
  AlignedFrame.resize((LengthPrefixBytes + Length) / sizeof(std::uint64_t) + 1);
  std::memcpy(AlignedFrame.data(), Start, LengthPrefixBytes + Length);
  const auto *Bytes =
      reinterpret_cast<const std::uint8_t *>(AlignedFrame.data());
  flatbuffers::Verifier Verifier(Bytes, LengthPrefixBytes + Length);
  if (!wire::VerifySizePrefixedEnvelopeBuffer(Verifier))
    return fail("frame is not a valid envelope");
  const wire::Envelope &Envelope = *wire::GetSizePrefixedEnvelope(Bytes);
  if (Envelope.version() != ProtocolVersion)
    return fail("unsupported protocol version");
  if (Envelope.sequence() <= LastSequence)
    return fail("sequence number did not increase");
  auto Body = internal::decodeBody(Envelope);
  if (!Body)
    return fail("message has an invalid enumerator or lacks a required field");
  LastSequence = Envelope.sequence();
  ReadOffset += LengthPrefixBytes + Length;
  Out = {.Sequence = LastSequence,
         .Time = Envelope.time(),
         .Body = std::move(*Body),
         .Size = LengthPrefixBytes + Length};
  return DecodeStatus::Ready;
}

} // namespace jujubecart::peers
