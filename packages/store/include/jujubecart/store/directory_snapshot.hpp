#ifndef JUJUBECART_STORE_DIRECTORY_SNAPSHOT_HPP
#define JUJUBECART_STORE_DIRECTORY_SNAPSHOT_HPP

#include <jujubecart/core/entry_store.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace jujubecart::store {

/// @brief Encodes entries of a store into one compressed value: a zlib stream
/// of a CBOR array with the revision of the list and, for each entry, an array
/// of its key, value and revision.
[[nodiscard]] std::string encodeSnapshot(const core::EntryList &List);

/// @brief Decodes what encodeSnapshot() returned.
/// @return Nothing if the value is invalid or larger than 16 MiB when it is
/// decompressed.
[[nodiscard]] std::optional<core::EntryList>
decodeSnapshot(std::string_view Value);

} // namespace jujubecart::store

#endif
