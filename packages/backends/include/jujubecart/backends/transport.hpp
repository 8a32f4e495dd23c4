#ifndef JUJUBECART_BACKENDS_TRANSPORT_HPP
#define JUJUBECART_BACKENDS_TRANSPORT_HPP

#include <jujubecart/backends/connection_pool.hpp>
#include <jujubecart/core/backend_transport.hpp>
#include <jujubecart/core/http_profile.hpp>

namespace jujubecart::backends {

/// @brief Sends requests to backend servers over pooled connections.
class Transport final : public core::BackendTransport {
public:
  /// @param Pool Must outlive every exchange.
  /// @param Time Must outlive every exchange.
  /// @param Profile Reads and writes the header fields; must outlive every
  /// exchange.
  Transport(ConnectionPool &Pool, const core::Clock &Time,
            const core::HttpProfile &Profile = core::nativeHttpProfile())
      : Pool(Pool), Time(Time), Profile(Profile) {}

  [[nodiscard]] std::unique_ptr<core::BackendExchange>
  prepare(const core::BackendServer &Server,
          std::shared_ptr<const core::BackendRequest> Request) override;

private:
  ConnectionPool &Pool;
  const core::Clock &Time;
  const core::HttpProfile &Profile;
};

} // namespace jujubecart::backends

#endif
