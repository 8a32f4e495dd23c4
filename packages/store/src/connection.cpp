#include "store_connections.hpp"

#include <boost/asio/strand.hpp>

namespace jujubecart::store::internal {

Connection::Connection(const boost::asio::any_io_executor &Executor)
    : Stream(boost::asio::ip::tcp::socket(boost::asio::make_strand(Executor))) {
}

} // namespace jujubecart::store::internal
