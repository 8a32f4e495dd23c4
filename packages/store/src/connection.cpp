#include "store_connections.hpp"

namespace jujubecart::store::internal {

// In a source file of its own: inlined into the coroutines, the static analyzer
// reports a use after free inside Asio's executor.
std::shared_ptr<Connection> StoreConnections::makeConnection() const {
  return std::make_shared<Connection>(Executor);
}

} // namespace jujubecart::store::internal
