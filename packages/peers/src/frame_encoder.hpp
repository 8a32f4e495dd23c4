#ifndef JUJUBECART_PEERS_SRC_FRAME_ENCODER_HPP
#define JUJUBECART_PEERS_SRC_FRAME_ENCODER_HPP

#include "peer_generated.h"
#include <jujubecart/peers/message.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace jujubecart::peers::internal {

using Builder = flatbuffers::FlatBufferBuilder;
using BodyOffset = std::pair<wire::Body, flatbuffers::Offset<void>>;

/// @brief Serializes a message as the body of an envelope.
/// @return Type and offset of the body; NONE and 0 for an unknown message.
[[nodiscard]] BodyOffset encodeBody(Builder &Out, const Message &Body);

/// @brief Deserializes the body of an envelope that the verifier has accepted.
/// @return Nothing if an enumerator is out of range or a required field is
/// absent; std::monostate for an unknown message type.
[[nodiscard]] std::optional<Message> decodeBody(const wire::Envelope &Source);

} // namespace jujubecart::peers::internal

#endif
