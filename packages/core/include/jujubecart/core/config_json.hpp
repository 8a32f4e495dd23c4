#ifndef JUJUBECART_CORE_CONFIG_JSON_HPP
#define JUJUBECART_CORE_CONFIG_JSON_HPP

#include <jujubecart/core/config.hpp>
#include <jujubecart/core/findings.hpp>

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace jujubecart::core {

/// @brief Reads a service in the format of a configuration ticket.
/// @param Value JSON object of the service.
/// @param Pointer JSON pointer of the object, used in findings.
/// @param Report Receives the findings.
/// @return The service; valid only if no finding was added.
[[nodiscard]] ServiceConfig readService(const std::string &Name,
                                        const nlohmann::json &Value,
                                        const std::string &Pointer,
                                        Findings &Report);

/// @brief Writes a service in the format of a configuration ticket.
/// @return JSON object that readService() accepts.
[[nodiscard]] nlohmann::json writeService(const ServiceConfig &Service);

/// @brief Whether text is an `IP:port` with a port from 1 to 65535.
[[nodiscard]] bool isAddress(const std::string &Text);

} // namespace jujubecart::core

#endif
