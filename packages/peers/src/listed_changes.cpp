#include "listed_changes.hpp"

#include <algorithm>
#include <map>
#include <string_view>

namespace jujubecart::peers::internal {

namespace {

using LastChanges = std::map<std::string_view, const core::StoredEntry *>;

LastChanges lastChanges(const core::EntryChanges &Changes) {
  LastChanges Result;
  for (const core::StoredEntry &Entry : Changes.List.Entries) {
    const core::StoredEntry *&Last = Result[Entry.Key];
    if (Last == nullptr || Last->Changed <= Entry.Changed)
      Last = &Entry;
  }
  return Result;
}

} // namespace

std::vector<core::StoredEntry>
deletionsByList(const core::EntryChanges &Recent,
                const core::EntryChanges &Changes) {
  const LastChanges Reported = lastChanges(Changes);
  std::vector<core::StoredEntry> Result;
  for (const auto &[Key, Known] : lastChanges(Recent)) {
    const auto Found = Reported.find(Key);
    const bool Missing =
        Found == Reported.end() || Found->second->Changed < Known->Changed;
    if (Missing && Known->Value && Known->Changed > Changes.Listed.After)
      Result.push_back({.Key = Known->Key,
                        .Value = std::nullopt,
                        .Changed = Changes.Listed.UpTo});
  }
  return Result;
}

core::ListedRange listedAfter(const std::vector<core::ListedRange> &Ranges,
                              core::Revision Revision) {
  core::ListedRange Result;
  for (const core::ListedRange &Each : Ranges)
    if (Each.UpTo > Revision)
      Result = {.After = Result.UpTo == 0 ? Each.After
                                          : std::min(Result.After, Each.After),
                .UpTo = Each.UpTo};
  return Result;
}

} // namespace jujubecart::peers::internal
