#ifndef JUJUBECART_DEV_FAKES_FWD_HPP
#define JUJUBECART_DEV_FAKES_FWD_HPP

namespace jujubecart::dev {

class HttpServer;
class SimulatedClient;
class SimulatedClock;
class Simulation;
class StoreModel;
class StoreServer;

struct SimulatedFaults;
struct SimulatedStore;

} // namespace jujubecart::dev

#endif
