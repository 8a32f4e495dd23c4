#include <jujubecart/decision/least_reported.hpp>
#include <jujubecart/decision/local_policy.hpp>
#include <jujubecart/decision/power_of_two_choices.hpp>
#include <jujubecart/decision/random_choice.hpp>
#include <jujubecart/decision/round_robin.hpp>

#include <algorithm>

namespace jujubecart::decision {

namespace {

using ServerList = std::vector<core::BackendServer>;
using IdList = std::span<const std::string>;

bool eligible(const core::BackendServer &Server, IdList Excluded) {
  return Server.State == core::ServerState::Active &&
         std::find(Excluded.begin(), Excluded.end(), Server.Id) ==
             Excluded.end();
}

// Index of the first eligible server at or after Start, wrapping around; the
// server at Skip is left out.
std::optional<std::size_t> firstEligible(const ServerList &Servers,
                                         IdList Excluded, std::size_t Start,
                                         std::optional<std::size_t> Skip = {}) {
  for (std::size_t Step = 0; Step < Servers.size(); ++Step) {
    const std::size_t Index = (Start + Step) % Servers.size();
    if (Index != Skip && eligible(Servers[Index], Excluded))
      return Index;
  }
  return std::nullopt;
}

// Index of a random eligible server. If all random tries hit ineligible
// servers, a linear search from a random start bounds the cost; the result is
// then no longer uniform.
std::optional<std::size_t>
randomEligible(const ServerList &Servers, IdList Excluded,
               std::mt19937_64 &Random, std::optional<std::size_t> Skip = {}) {
  if (Servers.empty())
    return std::nullopt;
  constexpr int MaxTries = 16;
  for (int Try = 0; Try < MaxTries; ++Try) {
    const std::size_t Index = Random() % Servers.size();
    if (Index != Skip && eligible(Servers[Index], Excluded))
      return Index;
  }
  return firstEligible(Servers, Excluded, Random() % Servers.size(), Skip);
}

} // namespace

void LocalPolicy::onStart(std::string_view /*ServerId*/,
                          core::TimePoint /*Now*/) {}

void LocalPolicy::onEnd(std::string_view /*ServerId*/,
                        const core::CallReport & /*Report*/,
                        core::TimePoint /*Now*/) {}

std::optional<std::size_t> PowerOfTwoChoices::pick(const ServerList &Servers,
                                                   IdList Excluded,
                                                   core::TimePoint /*Now*/) {
  const auto First = randomEligible(Servers, Excluded, Random);
  if (!First)
    return std::nullopt;
  const auto Second = randomEligible(Servers, Excluded, Random, First);
  if (!Second)
    return First;
  return loadPerSlot(Servers[*Second]) < loadPerSlot(Servers[*First]) ? Second
                                                                      : First;
}

void PowerOfTwoChoices::onStart(std::string_view ServerId,
                                core::TimePoint /*Now*/) {
  const auto Found = InFlight.find(ServerId);
  if (Found == InFlight.end())
    InFlight.emplace(ServerId, 1);
  else
    ++Found->second;
}

void PowerOfTwoChoices::onEnd(std::string_view ServerId,
                              const core::CallReport & /*Report*/,
                              core::TimePoint /*Now*/) {
  const auto Found = InFlight.find(ServerId);
  if (Found != InFlight.end() && --Found->second == 0)
    InFlight.erase(Found);
}

double PowerOfTwoChoices::loadPerSlot(const core::BackendServer &Server) const {
  const auto Found = InFlight.find(Server.Id);
  return Found == InFlight.end()
             ? 0.0
             : double(Found->second) / std::max(1U, Server.Slots);
}

std::optional<std::size_t> RoundRobin::pick(const ServerList &Servers,
                                            IdList Excluded,
                                            core::TimePoint /*Now*/) {
  if (Servers.empty())
    return std::nullopt;
  const auto Index = firstEligible(Servers, Excluded, Next % Servers.size());
  if (Index)
    Next = *Index + 1;
  return Index;
}

std::optional<std::size_t> RandomChoice::pick(const ServerList &Servers,
                                              IdList Excluded,
                                              core::TimePoint /*Now*/) {
  return randomEligible(Servers, Excluded, Random);
}

std::optional<std::size_t> LeastReportedLoad::pick(const ServerList &Servers,
                                                   IdList Excluded,
                                                   core::TimePoint /*Now*/) {
  if (Servers.empty())
    return std::nullopt;
  // A random start breaks ties randomly.
  const std::size_t Start = Random() % Servers.size();
  std::optional<std::size_t> Best;
  double BestLoad = 0;
  for (std::size_t Step = 0; Step < Servers.size(); ++Step) {
    const std::size_t Index = (Start + Step) % Servers.size();
    if (!eligible(Servers[Index], Excluded))
      continue;
    const auto Found = ReportedInFlight.find(Servers[Index].Id);
    const double Load =
        Found == ReportedInFlight.end()
            ? 0.0
            : double(Found->second) / std::max(1U, Servers[Index].Slots);
    if (!Best || Load < BestLoad) {
      Best = Index;
      BestLoad = Load;
    }
  }
  return Best;
}

void LeastReportedLoad::onEnd(std::string_view ServerId,
                              const core::CallReport &Report,
                              core::TimePoint /*Now*/) {
  if (!Report.Load)
    return;
  const auto Found = ReportedInFlight.find(ServerId);
  if (Found == ReportedInFlight.end())
    ReportedInFlight.emplace(ServerId, Report.Load->InFlight);
  else
    Found->second = Report.Load->InFlight;
}

std::unique_ptr<LocalPolicy> makeLocalPolicy(std::string_view Name,
                                             std::uint64_t Seed) {
  if (Name == "power-of-two-choices")
    return std::make_unique<PowerOfTwoChoices>(Seed);
  if (Name == "round-robin")
    return std::make_unique<RoundRobin>(Seed);
  if (Name == "random")
    return std::make_unique<RandomChoice>(Seed);
  if (Name == "least-reported")
    return std::make_unique<LeastReportedLoad>(Seed);
  return nullptr;
}

} // namespace jujubecart::decision
