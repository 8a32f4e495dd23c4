#include "fakes/store_server.hpp"

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

int main(int Count, char **Arguments) {
  CLI::App App{"Stand-in for the platform's key-value service"};
  std::uint16_t Port = 0;
  App.add_option("--port", Port, "port on 127.0.0.1; 0 picks a free one");
  CLI11_PARSE(App, Count, Arguments);
  try {
    boost::asio::io_context Context(1);
    const jujubecart::dev::StoreServer Server(Context, Port);
    boost::asio::signal_set Signals(Context, SIGINT, SIGTERM);
    Signals.async_wait([&Context](auto, int) { Context.stop(); });
    std::cout << Server.port() << std::endl;
    Context.run();
    return 0;
  } catch (const std::exception &Error) {
    std::cerr << "fake_store: " << Error.what() << "\n";
    return 1;
  }
}
