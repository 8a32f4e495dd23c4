#include "fakes/store_model.hpp"

namespace jujubecart::dev {

std::optional<core::VersionedValue>
StoreModel::get(const std::string &Key) const {
  const auto Found = Values.find(Key);
  if (Found == Values.end())
    return std::nullopt;
  return Found->second;
}

StoreModel::WriteResult StoreModel::put(const std::string &Key,
                                        std::string Value,
                                        std::uint64_t Expected) {
  const auto Found = Values.find(Key);
  const std::uint64_t Current =
      Found == Values.end() ? 0 : Found->second.Version;
  if (Current != Expected)
    return WriteResult{.Accepted = false, .Version = Current};
  Values[Key] =
      core::VersionedValue{.Version = Current + 1, .Value = std::move(Value)};
  return WriteResult{.Accepted = true, .Version = Current + 1};
}

} // namespace jujubecart::dev
