#ifndef JUJUBECART_OPERATORS_SETTINGS_READER_HPP
#define JUJUBECART_OPERATORS_SETTINGS_READER_HPP

#include <jujubecart/core/findings.hpp>
#include <jujubecart/operators/settings.hpp>

#include <string>
#include <string_view>

namespace jujubecart::operators {

/// @brief Reads settings from JSON text; unknown keys are reported.
/// @param Text Content of the file.
/// @param Report Collects every problem found, not only the first.
/// @return The settings; valid only if nothing was reported.
[[nodiscard]] Settings readSettings(std::string_view Text,
                                    core::Findings &Report);

/// @brief Reads a settings file.
/// @param Report Collects every problem found, also an unreadable file.
/// @return The settings; valid only if nothing was reported.
[[nodiscard]] Settings readSettingsFile(const std::string &File,
                                        core::Findings &Report);

} // namespace jujubecart::operators

#endif
