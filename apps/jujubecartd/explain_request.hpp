#ifndef JUJUBECART_APPS_JUJUBECARTD_EXPLAIN_REQUEST_HPP
#define JUJUBECART_APPS_JUJUBECARTD_EXPLAIN_REQUEST_HPP

#include "daemon_api.hpp"
#include "explanation.hpp"

namespace jujubecart::daemon {

/// @brief Reads what this VM knows about a request. Sends nothing, and neither
/// a slot nor a quota is used.
/// @param NotReady Why this VM is not ready; empty if it is.
[[nodiscard]] KnownState explainedState(const ApiEnvironment &Env,
                                        const operators::ExplainQuery &Query,
                                        std::string NotReady);

} // namespace jujubecart::daemon

#endif
