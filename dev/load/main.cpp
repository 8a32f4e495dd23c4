#include "common/http_call.hpp"
#include "load/check.hpp"
#include "load/generator.hpp"
#include "load/results.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <sys/resource.h>

namespace asio = boost::asio;
using namespace jujubecart::dev;
using nlohmann::json;

namespace {

// The backend servers need seconds to serialize the run record of a long
// experiment.
constexpr std::chrono::seconds RecordTimeout{30};

double cpuSeconds() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  const auto Seconds = [](const timeval &Value) {
    return static_cast<double>(Value.tv_sec) +
           static_cast<double>(Value.tv_usec) / 1e6;
  };
  return Seconds(Usage.ru_utime) + Seconds(Usage.ru_stime);
}

asio::awaitable<void> runExperiment(const Experiment &Plan, json &Result) {
  Generator Load(co_await asio::this_coro::executor, Plan);
  co_await Load.run();
  Result = summarize(Plan, Load.arrivals(), Load.results());
  Result["started_ms"] = Load.startedMs();
  Result["cpu_s"] = cpuSeconds();
  Result["connect_failures"] = Load.pool().connectFailures();
  if (Plan.BackendControl.empty())
    co_return;
  const std::string Record =
      co_await httpCall(Plan.BackendControl, "/record", "", RecordTimeout);
  Result["record"] = checkAgainstRuns(Plan, Load.arrivals(), Load.results(),
                                      json::parse(Record));
}

json runFile(const std::string &File) {
  const Experiment Plan = readExperiment(File);
  asio::io_context Context(1);
  json Result;
  std::exception_ptr Failure;
  asio::co_spawn(
      Context, runExperiment(Plan, Result),
      [&Failure](const std::exception_ptr &Error) { Failure = Error; });
  Context.run();
  if (Failure)
    std::rethrow_exception(Failure);
  return Result;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  try {
    if (ArgumentCount != 2)
      throw std::invalid_argument("usage: load EXPERIMENT.json");
    std::cout << runFile(Arguments[1]).dump(1) << '\n';
    return 0;
  } catch (const std::exception &Error) {
    std::cerr << "load: " << Error.what() << '\n';
    return 1;
  }
}
