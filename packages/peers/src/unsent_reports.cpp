#include "unsent_reports.hpp"

#include <utility>

namespace jujubecart::peers::internal {

void UnsentReports::add(const std::string &Vm, Items Report,
                        core::TimePoint Now) {
  std::vector<Entry> &Entries = Kept[Vm];
  std::erase_if(Entries,
                [Now](const Entry &Item) { return Now - Item.At > MaxAge; });
  if (!Report.empty())
    Entries.push_back({.At = Now, .Report = std::move(Report)});
}

UnsentReports::Items UnsentReports::merge(const std::string &Vm,
                                          const Items &Report,
                                          core::TimePoint Now) const {
  const auto Found = Kept.find(Vm);
  if (Found == Kept.end())
    return Report;
  std::map<std::uint64_t, decision::WorkspaceUse> Sums;
  const auto AddAll = [&Sums](const Items &Added) {
    for (const decision::WorkspaceUse &Item : Added) {
      decision::WorkspaceUse &Sum = Sums[Item.Workspace];
      Sum.Workspace = Item.Workspace;
      Sum.Demanded += Item.Demanded;
      Sum.Admitted += Item.Admitted;
    }
  };
  for (const Entry &Item : Found->second)
    if (Now - Item.At <= MaxAge)
      AddAll(Item.Report);
  AddAll(Report);
  Items Out;
  Out.reserve(Sums.size());
  for (const auto &[Workspace, Sum] : Sums)
    Out.push_back(Sum);
  return Out;
}

void UnsentReports::retain(const std::set<std::string> &Vms) {
  std::erase_if(Kept,
                [&](const auto &Item) { return !Vms.contains(Item.first); });
}

} // namespace jujubecart::peers::internal
