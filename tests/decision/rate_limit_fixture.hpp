#ifndef JUJUBECART_TESTS_DECISION_RATE_LIMIT_FIXTURE_HPP
#define JUJUBECART_TESTS_DECISION_RATE_LIMIT_FIXTURE_HPP

#include <jujubecart/decision/dispatcher.hpp>

#include <algorithm>
#include <array>
#include <criterion/criterion.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rate_limit_fixture {

using namespace jujubecart;
using namespace std::chrono_literals;

inline const core::TimePoint Start{1h};
inline constexpr auto ServiceTime = 160ms;
// Time from the end of a call to its report at the dispatcher.
inline constexpr auto ReportDelay = 5ms;
inline constexpr auto Step = 5ms;
// A server that states a limit may get, in each window from the settling time
// on, one and a half times what it allows and five requests more.
inline constexpr auto Window = 4s;
inline constexpr auto SettlingTime = 3s;

inline double allowedIn(core::RateLimit Limit) {
  return 1.5 * Limit.MilliPerS / 1000 *
             std::chrono::duration<double>(Window).count() +
         5;
}

/// @brief Dispatchers of one group, servers that may state a limit, and a
/// steady load, in simulated time.
struct RateLimitFixture {
  explicit RateLimitFixture(core::PolicyProfile Profile, unsigned Servers = 3)
      : Profile(Profile) {
    for (unsigned Server = 0; Server < Servers; ++Server)
      Group.Servers.push_back({.Id = std::to_string(Server),
                               .Address = "10.0.0.1:1",
                               .Zone = "z1",
                               .Slots = 3});
    Dispatchers.push_back(makeDispatcher());
  }

  [[nodiscard]] std::unique_ptr<decision::Dispatcher> makeDispatcher() const {
    decision::DispatcherOptions Options;
    Options.Profile = Profile;
    Options.InitialServiceTime = ServiceTime;
    Options.MaxExpectedWait = 500ms;
    return decision::makeDispatcher(Group, Options, Now);
  }

  /// @brief Runs for a time with calls at a rate; each call goes to the
  /// dispatcher that Active names.
  void run(std::chrono::milliseconds Time, double CallsPerS) {
    const core::TimePoint End = Now + Time;
    while (Now < End) {
      Now += Step;
      finishCalls();
      decision::Decisions Out;
      for (std::size_t Index = 0; Index < Dispatchers.size(); ++Index) {
        Out.clear();
        Dispatchers[Index]->tick(Now, Out);
        record(Index, Out);
      }
      Due += CallsPerS * std::chrono::duration<double>(Step).count();
      for (; Due >= 1; Due -= 1)
        call();
    }
  }

  /// @brief Adds a dispatcher, which is not the regular one.
  void addBackup() {
    Dispatchers.push_back(makeDispatcher());
    Dispatchers.back()->setRegular(false, Now);
  }

  void call() {
    decision::Decisions Out;
    if (Rotates)
      Active = LastToken % Dispatchers.size();
    Arrivals[++LastToken] = Now;
    Dispatchers[Active]->enqueue(
        {.Token = LastToken,
         .Holder = "vm" + std::to_string(LastToken % 8),
         .Deadline = Now + 2s,
         .Zone = "z1",
         .Objective = Now + 800ms,
         .WorkClass = 1,
         .Limits = Known},
        Now, Out);
    record(Active, Out);
  }

  void record(std::size_t Dispatcher, const decision::Decisions &Out) {
    for (const decision::Decision &Item : Out) {
      if (const auto *Grant = std::get_if<decision::Granted>(&Item)) {
        Sent[Grant->Server.Id].push_back(Now);
        Running.push_back({.Dispatcher = Dispatcher,
                           .GrantId = Grant->GrantId,
                           .Server = Grant->Server.Id,
                           .Incarnation = Grant->Server.Incarnation,
                           .AnsweredAt = Now + ServiceTime});
      } else {
        const auto &Rejected = std::get<decision::Rejected>(Item);
        RejectionWaits.push_back(Now - Arrivals[Rejected.Token]);
        RetryAfter.push_back(Rejected.RetryAfter);
      }
    }
    while (auto Probe = Dispatchers[Dispatcher]->nextProbe(Now))
      ++Probes[Probe->Id];
  }

  void finishCalls() {
    for (std::size_t Index = 0; Index < Running.size();) {
      const Call Item = Running[Index];
      if (Item.AnsweredAt + ReportDelay > Now) {
        ++Index;
        continue;
      }
      Running.erase(Running.begin() + static_cast<std::ptrdiff_t>(Index));
      core::CallReport Report{.Elapsed = ServiceTime};
      const auto Limit = Limits.find(Item.Server);
      if (Limit != Limits.end() && Item.Incarnation != Unlimited)
        Report.Limit = Limit->second;
      if (Item.Incarnation == Group.Servers.front().Incarnation)
        learn(Item.Server, Report.Limit);
      decision::Decisions Out;
      Dispatchers[Item.Dispatcher]->release(Item.GrantId, Report, Now, Out);
      record(Item.Dispatcher, Out);
    }
  }

  /// @brief Updates what the VMs know of the limits.
  void learn(const std::string &Server, std::optional<core::RateLimit> Limit) {
    std::erase_if(Known, [&](const decision::StatedLimit &Item) {
      return Item.ServerId == Server;
    });
    if (Limit)
      Known.push_back({.ServerId = Server, .Limit = *Limit, .StatedAt = Now});
  }

  /// @brief Largest number of requests that a server got in one window since a
  /// time.
  [[nodiscard]] std::size_t mostInWindow(const std::string &Server,
                                         core::TimePoint Since) {
    std::size_t Most = 0;
    const std::vector<core::TimePoint> &Times = Sent[Server];
    for (std::size_t First = 0; First < Times.size(); ++First) {
      if (Times[First] < Since)
        continue;
      const auto End = std::find_if(
          Times.begin() + static_cast<std::ptrdiff_t>(First), Times.end(),
          [&](core::TimePoint At) { return At - Times[First] > Window; });
      Most =
          std::max(Most, static_cast<std::size_t>(End - Times.begin()) - First);
    }
    return Most;
  }

  [[nodiscard]] std::size_t sentSince(const std::string &Server,
                                      core::TimePoint Since) {
    const std::vector<core::TimePoint> &Times = Sent[Server];
    return static_cast<std::size_t>(
        std::count_if(Times.begin(), Times.end(),
                      [&](core::TimePoint At) { return At >= Since; }));
  }

  struct Call {
    std::size_t Dispatcher = 0;
    std::uint64_t GrantId = 0;
    std::string Server;
    std::uint64_t Incarnation = 0;
    core::TimePoint AnsweredAt;
  };

  /// Incarnation of a server that states no limit.
  static constexpr std::uint64_t Unlimited = 7;

  const core::PolicyProfile Profile;
  decision::DispatchGroup Group{.Name = "g", .Service = "s", .Region = "r"};
  core::TimePoint Now = Start;
  std::vector<std::unique_ptr<decision::Dispatcher>> Dispatchers;
  std::size_t Active = 0;
  /// Whether calls go to all dispatchers in turn.
  bool Rotates = false;
  double Due = 0;
  decision::CallToken LastToken = 0;
  std::map<decision::CallToken, core::TimePoint> Arrivals;
  std::vector<Call> Running;
  /// Limits that the VMs tell the dispatchers.
  std::vector<decision::StatedLimit> Known;
  /// Limits that servers state, by id.
  std::map<std::string, core::RateLimit> Limits;
  std::map<std::string, std::vector<core::TimePoint>> Sent;
  std::map<std::string, std::size_t> Probes;
  std::vector<core::TimePoint::duration> RejectionWaits;
  std::vector<std::chrono::milliseconds> RetryAfter;
};

/// @brief Expects that no server got more than its limit allows.
/// @param Stated When the server first stated it.
inline void expectWithin(RateLimitFixture &Setup, const std::string &Server,
                         core::RateLimit Limit, core::TimePoint Stated) {
  const auto Most =
      static_cast<double>(Setup.mostInWindow(Server, Stated + SettlingTime));
  cr_expect_leq(Most, allowedIn(Limit), "%g requests in 4 s at %u", Most,
                Limit.MilliPerS);
}

inline constexpr std::array Profiles{core::PolicyProfile::Objective,
                                     core::PolicyProfile::Tail};

} // namespace rate_limit_fixture

#endif
