#ifndef JUJUBECART_APPS_JUJUBECTL_FLEET_HPP
#define JUJUBECART_APPS_JUJUBECTL_FLEET_HPP

#include <jujubecart/operators/client.hpp>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace jujubectl {

/// @brief Parameters for connections to the operators' endpoints of a fleet.
struct ConnectionOptions {
  /// `IP:port` of the operators' endpoint of any VM.
  std::string Endpoint;
  jujubecart::operators::TlsFiles Tls;
  /// Maximum wait for one response.
  std::chrono::milliseconds Timeout{5000};

  /// @brief Creates a client for one VM.
  /// @param Address `IP:port` of its operators' endpoint.
  [[nodiscard]] jujubecart::operators::Client
  client(const std::string &Address) const {
    return {Address, Tls, Timeout};
  }
};

/// @brief Response of one VM; Body is null if the VM could not be reached or
/// did not answer with a JSON object.
struct VmResponse {
  /// Id of the VM.
  std::string Vm;
  std::string Endpoint;
  /// State according to the VM at ConnectionOptions::Endpoint: live, suspect
  /// or leaving.
  std::string State;
  nlohmann::json Body;
};

/// @brief Fetches a JSON document concurrently from all members that the VM at
/// Target.Endpoint knows.
/// @param Path Path of the document, such as `/status`.
/// @return One response per VM in order of their id; empty if the VM at
/// Target.Endpoint cannot be reached.
[[nodiscard]] std::vector<VmResponse>
fetchFromAllVms(const ConnectionOptions &Target, const std::string &Path);

} // namespace jujubectl

#endif
