#include "server_statements.hpp"

#include <jujubecart/core/log.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace jujubecart::peers::internal {

namespace {

// A server that still states a limit has done so more recently, even if it
// allows only one request in a few seconds.
constexpr std::chrono::seconds MaxLimitAge{10};
// A server that leaves is gone long before. Bounds the memory for servers that
// come and go.
constexpr std::chrono::minutes MaxAge{10};

bool statesAnything(const core::CallReport &Report) {
  return Report.Limit || Report.Draining || Report.QuietUntil;
}

} // namespace

void ServerStatements::record(const core::BackendServer &Server,
                              const core::CallReport &Report,
                              core::TimePoint Now) {
  auto Found = Statements.find(Server.Id);
  if (Found != Statements.end() &&
      Found->second.Incarnation != Server.Incarnation) {
    Statements.erase(Found);
    Found = Statements.end();
  }
  if (Found == Statements.end()) {
    if (!statesAnything(Report))
      return;
    removeOutdated(Now);
    Found = Statements.emplace(Server.Id, Statement()).first;
    Found->second.Incarnation = Server.Incarnation;
  }
  Statement &Known = Found->second;
  if (statesAnything(Report))
    Known.StatedAt = Now;
  if (Report.Draining && !std::exchange(Known.Leaving, true))
    core::LogLine(core::LogLevel::Info, "server.leaving")
        .field("server", Server.Id);
  if (Report.QuietUntil && *Report.QuietUntil > Known.QuietUntil) {
    Known.QuietUntil = *Report.QuietUntil;
    core::LogLine(core::LogLevel::Info, "server.quiet")
        .field("server", Server.Id)
        .field("for_ms", std::chrono::ceil<std::chrono::milliseconds>(
                             Known.QuietUntil - Now)
                             .count());
  }
  if (!Report.Limit && !core::answered(Report.Outcome))
    return;
  const auto Before = std::exchange(Known.Limit, Report.Limit);
  if (Report.Limit && Before != Report.Limit)
    core::LogLine(core::LogLevel::Info, "server.limited")
        .field("server", Server.Id)
        .field("milli_per_s", Report.Limit->MilliPerS);
  if (!Report.Limit && Before)
    core::LogLine(core::LogLevel::Info, "server.limit_ended")
        .field("server", Server.Id);
}

void ServerStatements::removeOutdated(core::TimePoint Now) {
  std::erase_if(Statements, [Now](const auto &Item) {
    return Now - Item.second.StatedAt >= MaxAge &&
           Now >= Item.second.QuietUntil;
  });
}

const ServerStatements::Statement *
ServerStatements::find(const core::BackendServer &Server) const {
  const auto Found = Statements.find(Server.Id);
  return Found != Statements.end() &&
                 Found->second.Incarnation == Server.Incarnation
             ? &Found->second
             : nullptr;
}

std::vector<decision::StatedLimit>
ServerStatements::limits(const GroupEntry &Entry, core::TimePoint Now) const {
  std::vector<decision::StatedLimit> Result;
  if (Statements.empty())
    return Result;
  for (const core::BackendServer &Server : Entry.Group.Servers) {
    const Statement *Known = find(Server);
    if (Known != nullptr && Known->Limit && Now - Known->StatedAt < MaxLimitAge)
      Result.push_back({.ServerId = Server.Id,
                        .Limit = *Known->Limit,
                        .StatedAt = Known->StatedAt});
  }
  return Result;
}

bool ServerStatements::avoids(const core::BackendServer &Server,
                              core::TimePoint Now) const {
  const Statement *Known = find(Server);
  return Known != nullptr && (Known->Leaving || Now < Known->QuietUntil);
}

void ServerStatements::appendAvoided(const GroupEntry &Entry,
                                     core::TimePoint Now,
                                     std::vector<std::string> &Out) const {
  if (Statements.empty())
    return;
  for (const core::BackendServer &Server : Entry.Group.Servers)
    if (avoids(Server, Now) && Server.State == core::ServerState::Active &&
        std::find(Out.begin(), Out.end(), Server.Id) == Out.end())
      Out.push_back(Server.Id);
}

} // namespace jujubecart::peers::internal
