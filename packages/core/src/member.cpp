#include <jujubecart/core/member.hpp>

namespace jujubecart::core {

std::string_view toString(MemberState State) noexcept {
  switch (State) {
  case MemberState::Live:
    return "live";
  case MemberState::Suspect:
    return "suspect";
  case MemberState::Leaving:
    return "leaving";
  }
  return "unrecognized";
}

} // namespace jujubecart::core
