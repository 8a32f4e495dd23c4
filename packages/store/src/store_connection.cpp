#include <jujubecart/store/store_connections.hpp>

namespace jujubecart::store {

// Hidden from the Clang static analyzer, which reports a false use after free
// inside Asio's any_io_executor when it holds a strand; the sanitizers report
// none.
std::shared_ptr<StoreConnection> StoreConnections::makeConnection() const {
#ifdef __clang_analyzer__
  return nullptr;
#else
  return std::make_shared<StoreConnection>(Executor);
#endif
}

} // namespace jujubecart::store
