#include <jujubecart/decision/server_status.hpp>

namespace jujubecart::decision {

std::string_view toString(ServerHealth Health) noexcept {
  switch (Health) {
  case ServerHealth::Active:
    return "active";
  case ServerHealth::Ramping:
    return "ramping";
  case ServerHealth::Suspect:
    return "suspect";
  case ServerHealth::Ejected:
    return "ejected";
  case ServerHealth::Draining:
    return "draining";
  }
  return "unknown";
}

} // namespace jujubecart::decision
