#include "zone_relay/relay.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace asio = boost::asio;

int main(int ArgumentCount, char **Arguments) {
  try {
    if (ArgumentCount != 2)
      throw std::invalid_argument("usage: zone_relay FILE.json");
    std::ifstream Input(Arguments[1]);
    if (!Input)
      throw std::runtime_error("cannot open " + std::string(Arguments[1]));
    asio::io_context Context(1);
    jujubecart::dev::Relay Relay(Context, nlohmann::json::parse(Input));
    Relay.start();
    asio::signal_set Signals(Context, SIGTERM, SIGINT);
    Signals.async_wait([&Context](auto, int) { Context.stop(); });
    std::cout << Relay.addresses().dump() << std::endl;
    Context.run();
    return 0;
  } catch (const std::exception &Error) {
    std::cerr << "zone_relay: " << Error.what() << '\n';
    return 1;
  }
}
