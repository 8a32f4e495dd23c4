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

// The record of a long run takes seconds to serialize.
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

asio::awaitable<void> experiment(const Experiment &Plan, json &Result) {
  Generator Source(co_await asio::this_coro::executor, Plan);
  co_await Source.run();
  Result = summarize(Plan, Source.all(), Source.samples());
  Result["started_ms"] = Source.startedMs();
  Result["cpu_s"] = cpuSeconds();
  Result["connect_failures"] = Source.pool().connectFailures();
  if (Plan.Backends.empty())
    co_return;
  const std::string Runs =
      co_await httpCall(Plan.Backends, "/record", "", RecordTimeout);
  Result["record"] =
      compare(Plan, Source.all(), Source.samples(), json::parse(Runs));
}

json run(const std::string &File) {
  const Experiment Plan = readExperiment(File);
  asio::io_context Context(1);
  json Result;
  std::exception_ptr Failure;
  asio::co_spawn(
      Context, experiment(Plan, Result),
      [&Failure](const std::exception_ptr &Problem) { Failure = Problem; });
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
    std::cout << run(Arguments[1]).dump(1) << '\n';
    return 0;
  } catch (const std::exception &Problem) {
    std::cerr << "load: " << Problem.what() << '\n';
    return 1;
  }
}
