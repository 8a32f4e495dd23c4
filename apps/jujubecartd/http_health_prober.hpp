#ifndef JUJUBECART_APPS_JUJUBECARTD_HTTP_HEALTH_PROBER_HPP
#define JUJUBECART_APPS_JUJUBECARTD_HTTP_HEALTH_PROBER_HPP

#include <jujubecart/peers/health_prober.hpp>

namespace jujubecart::daemon {

/// @brief Sends `GET` for the health path (usually `/health`) and reads the
/// state from the JSON response.
///
/// Each probe opens a new connection. This also shows whether the backend
/// server accepts connections, which a reused connection would not show.
class HttpHealthProber final : public peers::HealthProber {
public:
  [[nodiscard]] core::Awaitable<decision::ProbeResult>
  probe(core::BackendServer Server, core::TimePoint Deadline) override;
};

} // namespace jujubecart::daemon

#endif
