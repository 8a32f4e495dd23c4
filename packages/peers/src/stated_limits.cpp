#include "stated_limits.hpp"

#include <jujubecart/core/log.hpp>

namespace jujubecart::peers::internal {

void StatedLimits::record(const core::BackendServer &Server,
                          const core::CallReport &Report, core::TimePoint Now) {
  const auto Found = Limits.find(Server.Id);
  const bool Known =
      Found != Limits.end() && Found->second.Incarnation == Server.Incarnation;
  if (!Report.Limit) {
    if (!Known || !core::answered(Report.Outcome))
      return;
    Limits.erase(Found);
    core::LogLine(core::LogLevel::Info, "server.limit_ended")
        .field("server", Server.Id);
    return;
  }
  if (!Known || Found->second.Limit != *Report.Limit)
    core::LogLine(core::LogLevel::Info, "server.limited")
        .field("server", Server.Id)
        .field("milli_per_s", Report.Limit->MilliPerS);
  Limits.insert_or_assign(Server.Id, Entry{.Limit = *Report.Limit,
                                           .StatedAt = Now,
                                           .Incarnation = Server.Incarnation});
}

} // namespace jujubecart::peers::internal
