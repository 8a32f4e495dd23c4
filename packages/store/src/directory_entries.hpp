#ifndef JUJUBECART_STORE_SRC_DIRECTORY_ENTRIES_HPP
#define JUJUBECART_STORE_SRC_DIRECTORY_ENTRIES_HPP

#include <jujubecart/core/directory_codec.hpp>
#include <jujubecart/core/entry_store.hpp>

#include <vector>

namespace jujubecart::store::internal {

/// @brief Leaves out entries that are not part of the directory.
[[nodiscard]] inline core::EntryList
withoutOther(core::EntryList List, const core::DirectoryCodec &Codec) {
  std::erase_if(List.Entries, [&](const core::StoredEntry &Entry) {
    return Codec.entryKind(Entry.Key) == core::EntryKind::Other;
  });
  return List;
}

/// @brief Logs the state of a backend server that has changed.
void logServerChange(const char *State, const core::RegisteredServer &Item,
                     core::Revision Changed);

} // namespace jujubecart::store::internal

#endif
