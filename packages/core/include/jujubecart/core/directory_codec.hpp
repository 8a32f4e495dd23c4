#ifndef JUJUBECART_CORE_DIRECTORY_CODEC_HPP
#define JUJUBECART_CORE_DIRECTORY_CODEC_HPP

#include <jujubecart/core/config.hpp>
#include <jujubecart/core/findings.hpp>
#include <jujubecart/core/member.hpp>
#include <jujubecart/core/routing_table.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace jujubecart::core {

/// @brief Settings shared by all backend servers of a service.
struct ServiceSettings {
  /// Path of the health check requests.
  std::string HealthPath;
  /// Limit for the connections of all entry VMs together to one server.
  std::uint32_t Connections = 100;
  /// Requests that a cold server accepts; MilliPerS is 0 without a limit.
  RateLimit ColdLimit;

  friend auto operator<=>(const ServiceSettings &,
                          const ServiceSettings &) = default;
};

/// @brief Routes and service settings of one configuration version.
struct RoutingConfig {
  std::shared_ptr<const RoutingTable> Routing;
  std::map<std::string, ServiceSettings, std::less<>> Services;
};

/// @brief Registration of a backend server with a service.
struct RegisteredServer {
  std::string Service;
  BackendServer Server;
  /// Grows with each report of the same server process.
  std::uint64_t Sequence = 0;
  /// How long the server stayed cold when it wrote the entry.
  std::uint32_t ColdMs = 0;

  friend auto operator<=>(const RegisteredServer &,
                          const RegisteredServer &) = default;
};

/// @brief Type of a directory entry; entries of type Other are ignored.
enum class EntryKind : std::uint8_t { Routing, Server, Vm, Evacuation, Other };

/// @brief Decodes and encodes the keys and values of the directory.
class DirectoryCodec {
public:
  virtual ~DirectoryCodec() = default;

  /// @brief Type of the entry that is stored under a key.
  [[nodiscard]] virtual EntryKind entryKind(std::string_view Key) const = 0;

  /// @brief Decodes the routes and service settings.
  /// @param Report Receives the findings.
  /// @return Nothing if the value is invalid.
  [[nodiscard]] virtual std::optional<RoutingConfig>
  decodeRouting(std::string_view Value, Findings &Report) const = 0;

  /// @brief Decodes the registration of a backend server.
  [[nodiscard]] virtual std::optional<RegisteredServer>
  decodeServer(std::string_view Key, std::string_view Value,
               Findings &Report) const = 0;

  /// @brief Decodes the registration of an entry VM.
  [[nodiscard]] virtual std::optional<Member>
  decodeVm(std::string_view Key, std::string_view Value,
           Findings &Report) const = 0;

  /// @brief Availability zone that an entry of kind Evacuation names.
  [[nodiscard]] virtual std::string
  evacuatedZone(std::string_view Key) const = 0;

  /// @brief Key under which the reader of the store keeps a snapshot of the
  /// entries; its entry kind is Other.
  [[nodiscard]] virtual std::string snapshotKey() const = 0;

  /// @brief Key of an entry VM's registration.
  [[nodiscard]] virtual std::string vmKey(std::string_view Id) const = 0;

  /// @brief Encodes the registration of an entry VM.
  [[nodiscard]] virtual std::string encodeVm(const Member &Vm) const = 0;
};

} // namespace jujubecart::core

#endif
