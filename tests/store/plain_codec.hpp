#ifndef JUJUBECART_TESTS_STORE_PLAIN_CODEC_HPP
#define JUJUBECART_TESTS_STORE_PLAIN_CODEC_HPP

#include <jujubecart/core/directory_codec.hpp>

#include <sstream>

namespace jujubecart::tests {

/// @brief Minimal codec with plain-text values: `config` holds a version,
/// `s/ID` the state of a server of the service `tags` and, if stated, its
/// sequence and cold time in milliseconds, `v/ID` the address of a VM, and
/// `e/ZONE` stands for an evacuated zone. The value `broken` is invalid.
class PlainCodec final : public core::DirectoryCodec {
public:
  [[nodiscard]] core::EntryKind entryKind(std::string_view Key) const override {
    if (Key == "config")
      return core::EntryKind::Routing;
    if (Key.starts_with("s/"))
      return core::EntryKind::Server;
    if (Key.starts_with("e/"))
      return core::EntryKind::Evacuation;
    return Key.starts_with("v/") ? core::EntryKind::Vm : core::EntryKind::Other;
  }
  [[nodiscard]] std::optional<core::RoutingConfig>
  decodeRouting(std::string_view Value, core::Findings &Report) const override {
    if (Value == "broken") {
      Report.add("", "broken", "version");
      return std::nullopt;
    }
    core::RoutingConfig Result;
    Result.Routing = std::make_shared<core::RoutingTable>(
        std::stoull(std::string(Value)), std::vector<core::Route>{},
        core::CallerLimits{});
    core::ServiceSettings Settings;
    Settings.ColdLimit = ColdLimit;
    Result.Services.emplace("tags", Settings);
    return Result;
  }
  /// Limit of cold servers of the service.
  core::RateLimit ColdLimit{.MilliPerS = 3600};

  [[nodiscard]] std::optional<core::RegisteredServer>
  decodeServer(std::string_view Key, std::string_view Value,
               core::Findings &Report) const override {
    if (Value == "broken") {
      Report.add("", "broken", "state");
      return std::nullopt;
    }
    core::RegisteredServer Result{.Service = "tags"};
    Result.Server.Id = Key.substr(2);
    Result.Server.Zone = "z1";
    std::istringstream Words{std::string(Value)};
    std::string State;
    Words >> State >> Result.Sequence >> Result.ColdMs;
    Result.Server.Incarnation = 1;
    Result.Server.State = State == "draining" ? core::ServerState::Draining
                                              : core::ServerState::Active;
    return Result;
  }
  [[nodiscard]] std::optional<core::Member>
  decodeVm(std::string_view Key, std::string_view Value,
           core::Findings & /*Report*/) const override {
    return core::Member{.Id = std::string(Key.substr(2)),
                        .Address = std::string(Value)};
  }
  [[nodiscard]] std::string evacuatedZone(std::string_view Key) const override {
    return std::string(Key.substr(2));
  }
  [[nodiscard]] std::string snapshotKey() const override { return "snapshot"; }
  [[nodiscard]] std::string vmKey(std::string_view Id) const override {
    return std::string("v/").append(Id);
  }
  [[nodiscard]] std::string encodeVm(const core::Member &Vm) const override {
    return Vm.Address;
  }
};

} // namespace jujubecart::tests

#endif
