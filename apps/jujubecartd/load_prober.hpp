#ifndef JUJUBECART_APPS_JUJUBECARTD_LOAD_PROBER_HPP
#define JUJUBECART_APPS_JUJUBECARTD_LOAD_PROBER_HPP

#include <jujubecart/core/backend_transport.hpp>
#include <jujubecart/peers/health_prober.hpp>

namespace jujubecart::daemon {

/// @brief Requests the health endpoint of a backend server over the connection
/// pool and reads the load from the header fields of the response.
class LoadProber final : public peers::HealthProber {
public:
  /// @param Backends Must outlive every probe.
  explicit LoadProber(core::BackendTransport &Backends) : Backends(Backends) {}

  [[nodiscard]] core::Awaitable<decision::ProbeResult>
  probe(core::BackendServer Server, core::TimePoint Deadline) override;

private:
  core::BackendTransport &Backends;
};

} // namespace jujubecart::daemon

#endif
