#include <jujubecart/decision/least_reported.hpp>
#include <jujubecart/decision/local_policy.hpp>
#include <jujubecart/decision/power_of_two_choices.hpp>
#include <jujubecart/decision/random_choice.hpp>
#include <jujubecart/decision/round_robin.hpp>

#include <algorithm>

namespace jujubecart::decision {

namespace {

using Servers = std::vector<core::BackendServer>;
using Ids = std::span<const std::string>;

bool eligible(const core::BackendServer &Server, Ids Excluded) {
  return Server.State == core::ServerState::Active &&
         std::find(Excluded.begin(), Excluded.end(), Server.Id) ==
             Excluded.end();
}

// First eligible server at or after Start, cyclically; Skip is left out.
std::optional<std::size_t> scan(const Servers &All, Ids Excluded,
                                std::size_t Start,
                                std::optional<std::size_t> Skip = {}) {
  for (std::size_t Step = 0; Step < All.size(); ++Step) {
    const std::size_t Index = (Start + Step) % All.size();
    if (Index != Skip && eligible(All[Index], Excluded))
      return Index;
  }
  return std::nullopt;
}

// Uniform among the eligible servers unless most are ineligible; the scan
// bounds the cost then.
std::optional<std::size_t>
randomEligible(const Servers &All, Ids Excluded, std::mt19937_64 &Random,
               std::optional<std::size_t> Skip = {}) {
  if (All.empty())
    return std::nullopt;
  constexpr int Tries = 16;
  for (int Try = 0; Try < Tries; ++Try) {
    const std::size_t Index = Random() % All.size();
    if (Index != Skip && eligible(All[Index], Excluded))
      return Index;
  }
  return scan(All, Excluded, Random() % All.size(), Skip);
}

} // namespace

void LocalPolicy::onStart(std::string_view /*ServerId*/,
                          core::TimePoint /*Now*/) {}

void LocalPolicy::onEnd(std::string_view /*ServerId*/,
                        const core::CallReport & /*Report*/,
                        core::TimePoint /*Now*/) {}

std::optional<std::size_t> PowerOfTwoChoices::pick(const Servers &All,
                                                   Ids Excluded,
                                                   core::TimePoint /*Now*/) {
  const auto First = randomEligible(All, Excluded, Random);
  if (!First)
    return std::nullopt;
  const auto Second = randomEligible(All, Excluded, Random, First);
  if (!Second)
    return First;
  return load(All[*Second]) < load(All[*First]) ? Second : First;
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

double PowerOfTwoChoices::load(const core::BackendServer &Server) const {
  const auto Found = InFlight.find(Server.Id);
  return Found == InFlight.end()
             ? 0.0
             : double(Found->second) / std::max(1U, Server.Slots);
}

std::optional<std::size_t> RoundRobin::pick(const Servers &All, Ids Excluded,
                                            core::TimePoint /*Now*/) {
  if (All.empty())
    return std::nullopt;
  const auto Index = scan(All, Excluded, Next % All.size());
  if (Index)
    Next = *Index + 1;
  return Index;
}

std::optional<std::size_t> RandomChoice::pick(const Servers &All, Ids Excluded,
                                              core::TimePoint /*Now*/) {
  return randomEligible(All, Excluded, Random);
}

std::optional<std::size_t> LeastReported::pick(const Servers &All, Ids Excluded,
                                               core::TimePoint /*Now*/) {
  if (All.empty())
    return std::nullopt;
  // A random start breaks ties differently each time.
  const std::size_t Start = Random() % All.size();
  std::optional<std::size_t> Best;
  double BestLoad = 0;
  for (std::size_t Step = 0; Step < All.size(); ++Step) {
    const std::size_t Index = (Start + Step) % All.size();
    if (!eligible(All[Index], Excluded))
      continue;
    const auto Found = Reported.find(All[Index].Id);
    const double Load =
        Found == Reported.end()
            ? 0.0
            : double(Found->second) / std::max(1U, All[Index].Slots);
    if (!Best || Load < BestLoad) {
      Best = Index;
      BestLoad = Load;
    }
  }
  return Best;
}

void LeastReported::onEnd(std::string_view ServerId,
                          const core::CallReport &Report,
                          core::TimePoint /*Now*/) {
  if (!Report.Load)
    return;
  const auto Found = Reported.find(ServerId);
  if (Found == Reported.end())
    Reported.emplace(ServerId, Report.Load->InFlight);
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
    return std::make_unique<LeastReported>(Seed);
  return nullptr;
}

} // namespace jujubecart::decision
