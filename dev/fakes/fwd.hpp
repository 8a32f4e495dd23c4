#ifndef JUJUBECART_DEV_FAKES_FWD_HPP
#define JUJUBECART_DEV_FAKES_FWD_HPP

namespace jujubecart::dev {

class HttpServer;
class StoreModel;
class StoreServer;

} // namespace jujubecart::dev

#endif
