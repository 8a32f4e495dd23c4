// Measures the cost of one server choice: each iteration releases one running
// call and enqueues another, with 75% of the slots occupied.
#include <benchmark/benchmark.h>
#include <jujubecart/decision.hpp>

#include <deque>

namespace {

using namespace jujubecart;
using namespace std::chrono_literals;

void enqueueAndRelease(benchmark::State &State) {
  decision::DispatchGroup Group{"tags/a/0", "tags", "a", {}};
  for (std::int64_t Index = 0; Index < State.range(0); ++Index) {
    Group.Servers.emplace_back().Id = "server-" + std::to_string(Index);
    Group.Servers.back().Zone = "z" + std::to_string(Index % 8);
    Group.Servers.back().Slots = 2;
  }
  core::TimePoint Now{1h};
  decision::GroupDispatcher Dispatcher(Group, {}, Now);
  std::deque<std::uint64_t> RunningGrants;
  decision::Decisions Out;
  decision::CallToken Token = 0;
  const auto Enqueue = [&] {
    decision::PendingCall Call;
    Call.Token = ++Token;
    Call.Zone = "z3";
    Call.Deadline = Now + 1s;
    Out.clear();
    Dispatcher.enqueue(std::move(Call), Now, Out);
    RunningGrants.push_back(std::get<decision::Granted>(Out.front()).GrantId);
  };
  for (std::int64_t Call = 0; Call < State.range(0) * 3 / 2; ++Call)
    Enqueue();
  core::CallReport Report;
  Report.Elapsed = 10ms;
  while (State.KeepRunning()) {
    Now += 10us;
    Out.clear();
    Dispatcher.release(RunningGrants.front(), Report, Now, Out);
    RunningGrants.pop_front();
    Enqueue();
  }
  State.counters["compared_per_pick"] =
      benchmark::Counter(double(Dispatcher.comparedServers()) / double(Token));
}

BENCHMARK(enqueueAndRelease)->Arg(8)->Arg(64)->Arg(930);

} // namespace

BENCHMARK_MAIN();
