#ifndef JUJUBECART_APPS_JUJUBECTL_COMMANDS_HPP
#define JUJUBECART_APPS_JUJUBECTL_COMMANDS_HPP

#include "exit_code.hpp"
#include "fleet.hpp"

#include <cstdint>
#include <string>

namespace jujubectl {

/// @brief Options of `ticket submit`.
struct SubmitOptions {
  std::string File;
  /// Whether to wait until the ticket is in force on every live VM.
  bool Wait = false;
  /// Maximum wait in seconds.
  std::uint32_t WaitS = 30;
  bool Json = false;
};

/// @brief Options of `timeline`; a filter that is empty or 0 matches every
/// event.
struct TimelineOptions {
  std::string Request;
  std::string OrderKey;
  std::uint64_t Ticket = 0;
  std::string Server;
  std::string Vm;
  /// Whether to keep polling for new events.
  bool Follow = false;
  /// If set, a page is written to this file instead of text to the output.
  std::string HtmlFile;
  bool Json = false;
};

/// @brief Options of `explain`: the request.
struct ExplainOptions {
  std::string Host;
  std::string Path = "/";
  std::string Method = "GET";
  std::string Workspace;
  /// File with the API key; `-` for the standard input.
  std::string KeyFile;
  bool Json = false;
};

/// @brief Submits a ticket file and optionally waits until the ticket is in
/// force.
[[nodiscard]] ExitCode submitTicket(const ConnectionOptions &Target,
                                    const SubmitOptions &Options);

/// @brief Prints whether a ticket was accepted.
[[nodiscard]] ExitCode showTicket(const ConnectionOptions &Target,
                                  std::uint64_t Number, bool Json);

/// @brief Prints the services in force.
[[nodiscard]] ExitCode listServices(const ConnectionOptions &Target, bool Json);

/// @brief Prints all VMs and the backend servers they dispatch to.
[[nodiscard]] ExitCode showStatus(const ConnectionOptions &Target, bool Json);

/// @brief Prints the merged event timeline of all VMs or writes it as a page.
[[nodiscard]] ExitCode showTimeline(const ConnectionOptions &Target,
                                    const TimelineOptions &Options);

/// @brief Prints where a request would go now, and why; asks the VM at
/// Target.Endpoint and the dispatchers that it names.
[[nodiscard]] ExitCode explainRequest(const ConnectionOptions &Target,
                                      const ExplainOptions &Options);

/// @brief Renders a self-contained HTML page with one lane per VM.
/// @param Events Events of all VMs in order, each with a `vm` member.
[[nodiscard]] std::string timelinePage(const nlohmann::json &Events);

} // namespace jujubectl

#endif
