#include "response_times.hpp"

#include <algorithm>

namespace jujubecart::callers::internal {

namespace {

// Long enough to include the slow spells of backend servers.
constexpr std::chrono::seconds Period{30};

} // namespace

void ResponseTimes::Entry::advance(core::TimePoint Now) {
  if (Now < PeriodEnd)
    return;
  Previous = outdated(Now) ? std::chrono::microseconds(0) : Current;
  Current = std::chrono::microseconds(0);
  PeriodEnd = Now + Period;
}

bool ResponseTimes::Entry::outdated(core::TimePoint Now) const {
  return Now >= PeriodEnd + Period;
}

void ResponseTimes::record(std::uint64_t WorkClass,
                           std::chrono::microseconds Elapsed,
                           core::TimePoint Now) {
  const std::lock_guard Lock(Mutex);
  auto Found = Entries.find(WorkClass);
  if (Found == Entries.end()) {
    // Routes come and go with the configuration.
    std::erase_if(
        Entries, [Now](const auto &Item) { return Item.second.outdated(Now); });
    Found = Entries.emplace(WorkClass, Entry{.PeriodEnd = Now + Period}).first;
  }
  Found->second.advance(Now);
  Found->second.Current = std::max(Found->second.Current, Elapsed);
}

std::chrono::microseconds ResponseTimes::longest(std::uint64_t WorkClass,
                                                 core::TimePoint Now) const {
  const std::lock_guard Lock(Mutex);
  const auto Found = Entries.find(WorkClass);
  if (Found == Entries.end())
    return std::chrono::microseconds(0);
  Entry Known = Found->second;
  Known.advance(Now);
  return std::max(Known.Current, Known.Previous);
}

std::size_t ResponseTimes::size() const {
  const std::lock_guard Lock(Mutex);
  return Entries.size();
}

} // namespace jujubecart::callers::internal
