#include <jujubecart/callers/server_counters.hpp>

namespace jujubecart::callers {

std::string_view toString(RejectReason Reason) noexcept {
  static constexpr std::array<std::string_view, RejectReasonCount> Names{
      "malformed", "no_rule",      "not_ready",     "too_large",
      "slow",      "repeated",     "overloaded",    "unavailable",
      "deadline",  "bad_response", "caller_gone",   "connection_limit",
      "stopping",  "unauthorized", "keys_outdated", "quota"};
  return Names[static_cast<std::size_t>(Reason)];
}

std::string_view toString(CloseStage Stage) noexcept {
  static constexpr std::array<std::string_view, CloseStageCount> Names{
      "body", "slot", "connection", "sent", "response"};
  return Names[static_cast<std::size_t>(Stage)];
}

} // namespace jujubecart::callers
