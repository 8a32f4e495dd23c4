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

/// @brief What operators set for all backend servers of a service.
struct ServiceSettings {
  std::string HealthPath;
  /// Connections that each backend server accepts from the whole fleet.
  std::uint32_t Connections = 100;

  friend auto operator<=>(const ServiceSettings &,
                          const ServiceSettings &) = default;
};

/// @brief Routes and services of one version.
struct RoutingConfig {
  std::shared_ptr<const RoutingTable> Routing;
  std::map<std::string, ServiceSettings, std::less<>> Services;
};

/// @brief A backend server and the service that it belongs to.
struct RegisteredServer {
  std::string Service;
  BackendServer Server;

  friend auto operator<=>(const RegisteredServer &,
                          const RegisteredServer &) = default;
};

/// @brief What an entry of the directory describes.
enum class EntryKind : std::uint8_t { Routing, Server, Vm, Other };

/// @brief Encoding of the directory's entries.
class DirectoryCodec {
public:
  virtual ~DirectoryCodec() = default;

  /// @brief What a key stands for.
  [[nodiscard]] virtual EntryKind kind(std::string_view Key) const = 0;

  /// @brief Decodes routes and services.
  /// @param Report Receives what is wrong; the value is nothing then.
  [[nodiscard]] virtual std::optional<RoutingConfig>
  routing(std::string_view Value, Findings &Report) const = 0;

  /// @brief Decodes the registration of a backend server.
  [[nodiscard]] virtual std::optional<RegisteredServer>
  server(std::string_view Key, std::string_view Value,
         Findings &Report) const = 0;

  /// @brief Decodes the registration of an entry VM.
  [[nodiscard]] virtual std::optional<Member>
  vm(std::string_view Key, std::string_view Value, Findings &Report) const = 0;

  /// @brief Key of an entry VM's registration.
  [[nodiscard]] virtual std::string vmKey(std::string_view Id) const = 0;

  /// @brief Encodes the registration of an entry VM.
  [[nodiscard]] virtual std::string encode(const Member &Vm) const = 0;
};

} // namespace jujubecart::core

#endif
