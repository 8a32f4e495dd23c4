#include <jujubecart/peers/message.hpp>

#include <array>

namespace jujubecart::peers {

std::string_view messageName(std::size_t Type) noexcept {
  static constexpr std::array<std::string_view, MessageTypeCount> Names{
      "unknown",      "hello",          "acquire",       "queued",
      "grant",        "refuse",         "release",       "cancel",
      "gossip",       "config_request", "config_delta",  "bye",
      "in_flight",    "claim_release",  "store_changes", "quota_report",
      "quota_history"};
  return Type < Names.size() ? Names[Type] : Names[0];
}

} // namespace jujubecart::peers
