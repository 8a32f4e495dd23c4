#ifndef JUJUBECART_STORE_SRC_SNAPSHOT_READER_HPP
#define JUJUBECART_STORE_SRC_SNAPSHOT_READER_HPP

#include <jujubecart/core/config_table.hpp>
#include <jujubecart/core/key_value_store.hpp>
#include <jujubecart/store/config_head.hpp>

namespace jujubecart::store::internal {

/// @brief Reads the services that changed with a head and applies the resulting
/// snapshot. A head that is not newer than the table has no effect.
/// @param Text Value of the head as stored.
/// @return Revision of the head, Malformed, or the store's error.
[[nodiscard]] core::Awaitable<core::Result<core::Revision>>
applyHead(core::KeyValueStore &Store, core::ConfigTable &Table,
          std::string Text, core::TimePoint Deadline);

} // namespace jujubecart::store::internal

#endif
