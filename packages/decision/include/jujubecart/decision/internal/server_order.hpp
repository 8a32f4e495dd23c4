#ifndef JUJUBECART_DECISION_INTERNAL_SERVER_ORDER_HPP
#define JUJUBECART_DECISION_INTERNAL_SERVER_ORDER_HPP

#include <jujubecart/decision/call_preview.hpp>
#include <jujubecart/decision/internal/load_table.hpp>
#include <jujubecart/decision/internal/server_table.hpp>

#include <vector>

namespace jujubecart::decision::internal {

/// @brief Order in which a call and its repeats would be placed on the servers
/// of a table, then the servers that get none of them.
/// @param Table A copy, which the search may change.
/// @param Servers Status of the servers of the group.
[[nodiscard]] std::vector<ServerPreview>
serverOrder(LoadTable Table, const std::vector<ServerStatus> &Servers,
            const PendingCall &Call, core::TimePoint Now);
[[nodiscard]] std::vector<ServerPreview>
serverOrder(ServerTable Table, const std::vector<ServerStatus> &Servers,
            const PendingCall &Call, core::TimePoint Now);

/// @brief Decision on a call among others; nothing if there is none.
[[nodiscard]] std::optional<Decision> decisionOn(CallToken Token,
                                                 const Decisions &All);

} // namespace jujubecart::decision::internal

#endif
