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

core::Result<std::size_t> FrameCodec::encode(const Frame &Item,
                                             std::vector<std::byte> &Out) {
  // Reused, so that encoding does not allocate once the buffer has grown.
  thread_local flatbuffers::FlatBufferBuilder Builder(1024);
  Builder.Clear();
  const auto [Type, Body] = internal::writeBody(Builder, Item.Body);
  wire::EnvelopeBuilder Envelope(Builder);
  Envelope.add_sequence(Item.Sequence);
  Envelope.add_time(Item.Time);
  Envelope.add_body(Body);
  Envelope.add_body_type(Type);
  Builder.FinishSizePrefixed(Envelope.Finish());
  if (Builder.GetSize() > MaxBody + LengthBytes)
    return core::make_error_code(core::Error::Malformed);
  const auto Bytes =
      std::as_bytes(std::span(Builder.GetBufferPointer(), Builder.GetSize()));
  Out.insert(Out.end(), Bytes.begin(), Bytes.end());
  return Bytes.size();
}

void FrameCodec::feed(std::span<const std::byte> Bytes) {
  if (Begin == Buffer.size()) {
    Buffer.clear();
    Begin = 0;
  }
  Buffer.insert(Buffer.end(), Bytes.begin(), Bytes.end());
}

FrameState FrameCodec::fail(std::string_view Why) {
  Reason = Why;
  return FrameState::Invalid;
}

FrameState FrameCodec::next(Frame &Out) {
  if (!Reason.empty())
    return fail(Reason);
  const std::span<const std::byte> Rest = std::span(Buffer).subspan(Begin);
  if (Rest.size() < LengthBytes)
    return FrameState::Incomplete;
  const auto *Start = reinterpret_cast<const std::uint8_t *>(Rest.data());
  const std::size_t Length = internal::readLength(Start);
  if (Length > MaxBody)
    return fail("frame too large");
  if (Rest.size() < LengthBytes + Length) {
    if (Begin > 0) {
      Buffer.erase(Buffer.begin(),
                   Buffer.begin() + static_cast<std::ptrdiff_t>(Begin));
      Begin = 0;
    }
    return FrameState::Incomplete;
  }
  // Scalars are read in place, so the frame must be aligned.
  Aligned.resize((LengthBytes + Length) / sizeof(std::uint64_t) + 1);
  std::memcpy(Aligned.data(), Start, LengthBytes + Length);
  const auto *Bytes = reinterpret_cast<const std::uint8_t *>(Aligned.data());
  flatbuffers::Verifier Verifier(Bytes, LengthBytes + Length);
  if (!wire::VerifySizePrefixedEnvelopeBuffer(Verifier))
    return fail("not an envelope");
  const wire::Envelope &Envelope = *wire::GetSizePrefixedEnvelope(Bytes);
  if (Envelope.version() != Version)
    return fail("unsupported protocol version");
  if (Envelope.sequence() <= LastSequence)
    return fail("sequence number did not increase");
  auto Body = internal::readBody(Envelope);
  if (!Body)
    return fail("invalid field");
  LastSequence = Envelope.sequence();
  Begin += LengthBytes + Length;
  Out = {.Sequence = LastSequence,
         .Time = Envelope.time(),
         .Body = std::move(*Body),
         .Size = LengthBytes + Length};
  return FrameState::Ready;
}

} // namespace jujubecart::peers
