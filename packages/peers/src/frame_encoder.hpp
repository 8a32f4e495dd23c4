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

/// @brief Writes the body of a frame.
[[nodiscard]] BodyOffset writeBody(Builder &Out, const Message &Body);

/// @brief Reads the body of a verified frame.
/// @return Nothing if an enumerator or a required field is invalid.
[[nodiscard]] std::optional<Message> readBody(const wire::Envelope &Source);

} // namespace jujubecart::peers::internal

#endif
