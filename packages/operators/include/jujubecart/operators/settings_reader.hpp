#ifndef JUJUBECART_OPERATORS_SETTINGS_READER_HPP
#define JUJUBECART_OPERATORS_SETTINGS_READER_HPP

#include <jujubecart/core/findings.hpp>
#include <jujubecart/operators/settings.hpp>

#include <string>
#include <string_view>

namespace jujubecart::operators {

/// @brief Reads settings from JSON text; unknown keys are findings.
/// @param Text Content of the file.
/// @param Report Collects the diagnostics.
/// @return The settings; valid only if nothing was reported.
[[nodiscard]] Settings readSettings(std::string_view Text,
                                    core::Findings &Report);

/// @brief Reads a settings file.
/// @param File Path of the file.
/// @param Report Collects the diagnostics, an unreadable file included.
/// @return The settings; valid only if nothing was reported.
[[nodiscard]] Settings readSettingsFile(const std::string &File,
                                        core::Findings &Report);

} // namespace jujubecart::operators

#endif
