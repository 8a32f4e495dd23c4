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
  bool Wait = false;
  std::uint32_t WaitS = 30;
  bool Json = false;
};

/// @brief Options of `timeline`; empty filters match everything.
struct TimelineOptions {
  std::string Request;
  std::string OrderKey;
  std::uint64_t Ticket = 0;
  std::string Server;
  std::string Vm;
  bool Follow = false;
  /// Written instead of text if set.
  std::string HtmlFile;
  bool Json = false;
};

/// @brief Submits a ticket file and optionally waits until it is in force.
[[nodiscard]] ExitCode submitTicket(const Connection &Target,
                                    const SubmitOptions &Options);

/// @brief Shows what became of a ticket.
[[nodiscard]] ExitCode showTicket(const Connection &Target,
                                  std::uint64_t Number, bool Json);

/// @brief Lists the services in force.
[[nodiscard]] ExitCode listServices(const Connection &Target, bool Json);

/// @brief Shows all VMs and backend servers.
[[nodiscard]] ExitCode showStatus(const Connection &Target, bool Json);

/// @brief Shows the merged event timeline of all VMs.
[[nodiscard]] ExitCode showTimeline(const Connection &Target,
                                    const TimelineOptions &Options);

/// @brief Self-contained HTML page with one lane per VM.
/// @param Events Merged events, each with a `vm` member.
[[nodiscard]] std::string timelinePage(const nlohmann::json &Events);

} // namespace jujubectl

#endif
