#ifndef JUJUBECART_APPS_JUJUBECARTD_HTTP_HEALTH_PROBER_HPP
#define JUJUBECART_APPS_JUJUBECARTD_HTTP_HEALTH_PROBER_HPP

#include <jujubecart/peers/health_prober.hpp>

namespace jujubecart::daemon {

/// @brief Probes `GET /health` over a connection of its own.
///
/// A new connection also proves that the backend server accepts one, which a
/// kept connection that has gone silent would not.
class HttpHealthProber final : public peers::HealthProber {
public:
  [[nodiscard]] core::Awaitable<decision::ProbeResult>
  probe(core::BackendServer Server, core::TimePoint Deadline) override;
};

} // namespace jujubecart::daemon

#endif
