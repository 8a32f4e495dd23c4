#include "snapshot_reader.hpp"

#include <jujubecart/core/config_json.hpp>
#include <jujubecart/core/json_reader.hpp>
#include <jujubecart/core/log.hpp>

#include <nlohmann/json.hpp>

namespace jujubecart::store::internal {

using EntryPointer = std::shared_ptr<const core::ServiceEntry>;

namespace {

core::Awaitable<core::Result<EntryPointer>>
readEntry(core::KeyValueStore &Store, std::string Name, HeadEntry Entry,
          core::TimePoint Deadline) {
  auto Read = std::make_shared<core::ServiceEntry>();
  Read->Changed = Entry.Changed;
  if (Entry.Key.empty())
    co_return EntryPointer(Read);
  const auto Stored = co_await Store.get(Entry.Key, Deadline);
  if (Stored.has_error())
    co_return Stored.error();
  core::Findings Report(Entry.Key);
  if (const auto Value = core::parseJson(Stored->Value, Report))
    Read->Service = core::readService(Name, *Value, "", Report);
  if (!Report.empty()) {
    core::LogLine(core::LogLevel::Error, "config.service-malformed")
        .field("key", Entry.Key)
        .field("findings", Report.text());
    co_return make_error_code(core::Error::Malformed);
  }
  co_return EntryPointer(Read);
}

} // namespace

// The service values to which a head refers are never overwritten, so an entry
// whose last change has the same revision is unchanged and is not read again.
// Nothing is applied unless all changed services could be read.
core::Awaitable<core::Result<core::Revision>>
applyHead(core::KeyValueStore &Store, core::ConfigTable &Table,
          std::string Text, core::TimePoint Deadline) {
  const auto Head = readHead(Text);
  if (Head.has_error()) {
    core::LogLine(core::LogLevel::Error, "config.head-malformed")
        .field("bytes", Text.size());
    co_return Head.error();
  }
  const auto Current = Table.current();
  if (Head->Revision <= Current->revision())
    co_return Head->Revision;
  core::ConfigSnapshot::ServiceMap Entries;
  for (const auto &[Name, Entry] : Head->Services) {
    const auto Unchanged = Current->entries().find(Name);
    if (Unchanged != Current->entries().end() &&
        Unchanged->second->Changed == Entry.Changed) {
      Entries.emplace(Name, Unchanged->second);
      continue;
    }
    auto Read = co_await readEntry(Store, Name, Entry, Deadline);
    if (Read.has_error())
      co_return Read.error();
    Entries.emplace(Name, std::move(*Read));
  }
  if (Table.apply(std::make_shared<core::ConfigSnapshot>(Head->Revision,
                                                         std::move(Entries))))
    core::LogLine(core::LogLevel::Info, "config.in-force")
        .field("revision", Head->Revision)
        .field("source", "store");
  co_return Head->Revision;
}

} // namespace jujubecart::store::internal
