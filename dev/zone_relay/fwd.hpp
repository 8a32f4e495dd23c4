#ifndef JUJUBECART_DEV_ZONE_RELAY_FWD_HPP
#define JUJUBECART_DEV_ZONE_RELAY_FWD_HPP

namespace jujubecart::dev {

class Pipe;
class Relay;

struct Route;
struct Link;

} // namespace jujubecart::dev

#endif
