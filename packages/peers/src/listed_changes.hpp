#ifndef JUJUBECART_PEERS_SRC_LISTED_CHANGES_HPP
#define JUJUBECART_PEERS_SRC_LISTED_CHANGES_HPP

#include <jujubecart/core/entry_store.hpp>

#include <vector>

namespace jujubecart::peers::internal {

/// @brief Deletions that a list shows to a VM which knows earlier changes.
/// @param Recent Changes before the list, from Changes.Listed.After or earlier.
/// @param Changes Contain all changes that were derived from the list.
[[nodiscard]] std::vector<core::StoredEntry>
deletionsByList(const core::EntryChanges &Recent,
                const core::EntryChanges &Changes);

/// @brief Smallest range that contains all ranges which end after a revision.
/// @param Ranges In the order of their ends.
[[nodiscard]] core::ListedRange
listedAfter(const std::vector<core::ListedRange> &Ranges,
            core::Revision Revision);

} // namespace jujubecart::peers::internal

#endif
