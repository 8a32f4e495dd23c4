#ifndef JUJUBECART_APPS_JUJUBECTL_FLEET_HPP
#define JUJUBECART_APPS_JUJUBECTL_FLEET_HPP

#include <jujubecart/operators/client.hpp>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace jujubectl {

/// @brief How to reach the fleet.
struct Connection {
  /// `IP:port` of the operators' endpoint of any VM.
  std::string Endpoint;
  jujubecart::operators::TlsFiles Tls;
  std::chrono::milliseconds Limit{5000};

  /// @brief Client for the given VM.
  [[nodiscard]] jujubecart::operators::Client
  client(const std::string &Address) const {
    return {Address, Tls, Limit};
  }
};

/// @brief Answer of one VM; Body is null if it could not be reached.
struct VmAnswer {
  std::string Vm;
  std::string Endpoint;
  /// State that the asked VM knows: live, suspect or leaving.
  std::string State;
  nlohmann::json Body;
};

/// @brief Fetches a JSON document from every VM that the asked VM knows.
/// @param Target Where to start.
/// @param Path Path of the document, such as `/status`.
/// @return One answer per VM in order of their id; empty if the first VM
/// cannot be reached.
[[nodiscard]] std::vector<VmAnswer> fetchFromAll(const Connection &Target,
                                                 const std::string &Path);

} // namespace jujubectl

#endif
