#include <jujubecart/core/config_table.hpp>

namespace jujubecart::core {

ConfigTable::ConfigTable() : Current(std::make_shared<ConfigSnapshot>()) {}

ConfigSource::Snapshot ConfigTable::current() const {
  const std::lock_guard Lock(Mutex);
  return Current;
}

void ConfigTable::subscribe(Listener Notify) {
  const std::lock_guard Lock(Mutex);
  Listeners.push_back(std::move(Notify));
}

bool ConfigTable::apply(const Snapshot &Candidate) {
  const std::lock_guard ApplyLock(ApplyMutex);
  return applyLocked(Candidate);
}

bool ConfigTable::applyDelta(Revision Base, Revision Target,
                             const ConfigSnapshot::ServiceMap &Changed) {
  const std::lock_guard ApplyLock(ApplyMutex);
  const Snapshot Known = current();
  if (Base > Known->revision())
    return false;
  ConfigSnapshot::ServiceMap Entries = Known->entries();
  for (const auto &[Name, Entry] : Changed)
    Entries.insert_or_assign(Name, Entry);
  return applyLocked(
      std::make_shared<ConfigSnapshot>(Target, std::move(Entries)));
}

bool ConfigTable::applyLocked(const Snapshot &Candidate) {
  std::vector<Listener> ToNotify;
  {
    const std::lock_guard Lock(Mutex);
    if (Candidate->revision() <= Current->revision())
      return false;
    Current = Candidate;
    ToNotify = Listeners;
  }
  for (const Listener &Notify : ToNotify)
    Notify(Candidate);
  return true;
}

} // namespace jujubecart::core
