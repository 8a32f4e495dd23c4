#include "commands.hpp"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <thread>

namespace jujubectl {

namespace internal {

using nlohmann::json;

constexpr std::chrono::milliseconds FollowInterval{500};
constexpr std::uint64_t EventsPerRequest = 10000;

bool matches(const json &Event, const TimelineOptions &Options) {
  const auto FieldMatches = [&](const char *Key, const std::string &Wanted) {
    return Wanted.empty() || Event.value(Key, "") == Wanted;
  };
  return FieldMatches("request", Options.Request) &&
         FieldMatches("order_key", Options.OrderKey) &&
         FieldMatches("server", Options.Server) &&
         FieldMatches("vm", Options.Vm) &&
         (Options.Ticket == 0 || Event.value("ticket", 0U) == Options.Ticket);
}

/// @brief Fetches new events from all VMs and merges them in order of their
/// hybrid logical time.
class TimelineReader {
public:
  TimelineReader(const ConnectionOptions &Target,
                 const TimelineOptions &Options)
      : Target(Target), Options(Options) {}

  [[nodiscard]] bool reached() const noexcept { return Reached; }

  [[nodiscard]] std::vector<json> fetchNewEvents() {
    std::uint64_t Since = 0;
    for (const auto &[Vm, Logical] : LastLogicalByVm)
      Since = Since == 0 ? Logical : std::min(Since, Logical);
    const std::string Path = "/timeline?since=" + std::to_string(Since) +
                             "&limit=" + std::to_string(EventsPerRequest);
    std::vector<json> Merged;
    const std::vector<VmResponse> Vms = fetchFromAllVms(Target, Path);
    Reached = !Vms.empty();
    for (const VmResponse &Vm : Vms)
      append(Vm, Merged);
    std::stable_sort(Merged.begin(), Merged.end(),
                     [](const json &Left, const json &Right) {
                       return Left["logical"] < Right["logical"];
                     });
    return Merged;
  }

private:
  void append(const VmResponse &Vm, std::vector<json> &Merged) {
    if (Vm.Body.is_null()) {
      std::cerr << "jujubectl: VM " << Vm.Vm << " cannot be reached\n";
      return;
    }
    if (const auto Dropped = Vm.Body.value("dropped", 0U);
        Dropped > 0 && LastLogicalByVm.find(Vm.Vm) == LastLogicalByVm.end())
      std::cerr << "jujubectl: VM " << Vm.Vm << " dropped " << Dropped
                << " older events\n";
    std::uint64_t &Last = LastLogicalByVm[Vm.Vm];
    for (json Event : Vm.Body.value("events", json::array())) {
      const std::uint64_t Logical = Event.value("logical", std::uint64_t{0});
      if (Logical <= Last)
        continue;
      Last = Logical;
      Event["vm"] = Vm.Vm;
      if (matches(Event, Options))
        Merged.push_back(std::move(Event));
    }
  }

  const ConnectionOptions &Target;
  const TimelineOptions &Options;
  std::map<std::string, std::uint64_t> LastLogicalByVm;
  bool Reached = false;
};

void printEvent(const json &Event, bool Json) {
  if (Json) {
    std::cout << Event.dump() << '\n';
    return;
  }
  std::cout << Event.value("time_us", std::uint64_t{0}) << ' '
            << Event.value("vm", "") << ' ' << Event.value("kind", "");
  for (const char *Key :
       {"request", "order_key", "ticket", "server", "peer", "detail"})
    if (Event.contains(Key))
      std::cout << ' ' << Key << '=' << Event[Key].dump();
  std::cout << '\n';
}

ExitCode writePage(const std::vector<json> &Events, const std::string &File) {
  std::ofstream Out(File, std::ios::binary);
  if (!(Out << timelinePage(json(Events))) || !Out.flush()) {
    std::cerr << "jujubectl: cannot write \"" << File << "\"\n";
    return InvalidInput;
  }
  std::cout << Events.size() << " events written to " << File << '\n';
  return Success;
}

} // namespace internal

ExitCode showTimeline(const ConnectionOptions &Target,
                      const TimelineOptions &Options) {
  internal::TimelineReader Reader(Target, Options);
  do {
    const std::vector<nlohmann::json> Events = Reader.fetchNewEvents();
    if (!Reader.reached()) {
      std::cerr << "jujubectl: " << Target.Endpoint << " cannot be reached\n";
      return Unavailable;
    }
    if (!Options.HtmlFile.empty())
      return internal::writePage(Events, Options.HtmlFile);
    for (const nlohmann::json &Event : Events)
      internal::printEvent(Event, Options.Json);
    std::cout.flush();
    if (Options.Follow)
      std::this_thread::sleep_for(internal::FollowInterval);
  } while (Options.Follow);
  return Success;
}

} // namespace jujubectl
