#include <jujubecart/backends/transport.hpp>

#include "exchange.hpp"

namespace jujubecart::backends {

std::unique_ptr<core::BackendExchange>
Transport::prepare(const core::BackendServer &Server,
                   std::shared_ptr<const core::BackendRequest> Request) {
  return std::make_unique<internal::Exchange>(Pool, Time, Profile, Server,
                                              std::move(Request));
}

} // namespace jujubecart::backends
