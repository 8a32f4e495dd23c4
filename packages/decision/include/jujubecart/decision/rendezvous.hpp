#ifndef JUJUBECART_DECISION_RENDEZVOUS_HPP
#define JUJUBECART_DECISION_RENDEZVOUS_HPP

#include <jujubecart/core/member.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jujubecart::decision {

/// @brief Ranks the live members as candidates for the dispatcher of a group,
/// by rendezvous hashing weighted by processor capacity. Members that are much
/// smaller than those that can do the work of all groups rank last. The order
/// of the others stays when a member leaves, unless that leaves too few of the
/// larger ones.
/// @param Group Name of the dispatch group.
/// @param Region Region of the group; its members rank first.
/// @param Members All known members; only live ones are ranked.
/// @return Member ids; the first one is the dispatcher.
[[nodiscard]] std::vector<std::string>
rankMembers(std::string_view Group, std::string_view Region,
            std::span<const core::Member> Members);

/// @brief Number of live members that rankMembers() does not rank last because
/// of their size, whatever their region.
[[nodiscard]] std::size_t countEligible(std::span<const core::Member> Members);

} // namespace jujubecart::decision

#endif
