#ifndef JUJUBECART_BACKENDS_FWD_HPP
#define JUJUBECART_BACKENDS_FWD_HPP

namespace jujubecart::backends {

class ConnectionPool;
class Transport;

struct Connection;
struct PendingAcquire;
struct PoolCounters;
struct PoolOptions;

} // namespace jujubecart::backends

#endif
