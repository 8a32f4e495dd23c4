#include "stated_limits.hpp"

#include <jujubecart/core/hash.hpp>
#include <jujubecart/core/log.hpp>

#include <algorithm>
#include <chrono>

namespace jujubecart::peers::internal {

namespace {

// A server that still states a limit has done so more recently, even if it
// allows only one request in a few seconds.
constexpr std::chrono::seconds MaxAge{10};

} // namespace

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
  std::erase_if(Limits, [&](const auto &Item) {
    return Item.first != Server.Id && Now - Item.second.StatedAt >= MaxAge;
  });
  if (!Known || Found->second.Limit != *Report.Limit)
    core::LogLine(core::LogLevel::Info, "server.limited")
        .field("server", Server.Id)
        .field("milli_per_s", Report.Limit->MilliPerS);
  Limits.insert_or_assign(Server.Id,
                          Statement{.Limit = *Report.Limit,
                                    .StatedAt = Now,
                                    .Incarnation = Server.Incarnation});
}

std::vector<decision::StatedLimit>
StatedLimits::collect(const GroupEntry &Entry, core::TimePoint Now) const {
  std::vector<decision::StatedLimit> Result;
  for (const auto &[Id, Item] : Limits) {
    const core::BackendServer *Server = Entry.server(core::hash64(Id));
    if (Server != nullptr && Server->Incarnation == Item.Incarnation &&
        Now - Item.StatedAt < MaxAge)
      Result.push_back(
          {.ServerId = Id, .Limit = Item.Limit, .StatedAt = Item.StatedAt});
  }
  return Result;
}

} // namespace jujubecart::peers::internal
