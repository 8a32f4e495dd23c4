#include "build_info.hpp"
#include "daemon.hpp"

#include <jujubecart/operators/settings_reader.hpp>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

constexpr int ExitInvalidInput = 2;
constexpr int ExitFailure = 1;

int run(const std::string &File) {
  using namespace jujubecart;
  core::Findings Report(File);
  const operators::Settings Settings =
      operators::readSettingsFile(File, Report);
  if (!Report.empty()) {
    std::cerr << Report.text();
    return ExitInvalidInput;
  }
  core::configureLog(Settings.Vm.Id, Settings.LogLevel);
  try {
    // Never destroyed: suspended coroutines still refer to its members, and the
    // process exits right after run().
    static daemon::Daemon *const Process =
        new daemon::Daemon(Settings, operators::SettingsFile(File));
    return Process->run();
  } catch (const std::exception &Failure) {
    core::LogLine(core::LogLevel::Error, "vm.failed")
        .field("error", Failure.what());
    return ExitFailure;
  }
}

/// @brief Ends the process without static destructors. Those of the logging
/// library wait for threads of its own and can outlast the grace period, after
/// which the platform kills the process; nothing is left to flush. Builds with
/// the address sanitizer end normally, because leaks are detected then.
int endProcess(int Code) {
#ifndef __SANITIZE_ADDRESS__
  std::quick_exit(Code);
#endif
  return Code;
}

} // namespace

int main(int Count, char **Arguments) {
  using namespace jujubecart;
  CLI::App App{"Load balancer process of one entry VM.", "jujubecartd"};
  std::string File;
  App.add_option("--settings", File, "JSON settings file")
      ->required()
      ->envname("JUJUBECART_SETTINGS");
  App.set_version_flag("--version", std::string(daemon::productVersion()) +
                                        ", sources " +
                                        std::string(daemon::sourceDigest()));
  App.footer("SIGTERM or SIGINT stops gracefully. Exit codes: 0 stopped,\n"
             "1 failed, 2 invalid settings or arguments.");
  try {
    App.parse(Count, Arguments);
  } catch (const CLI::ParseError &Failure) {
    return App.exit(Failure) == 0 ? 0 : ExitInvalidInput;
  }
  // The process outlives the reader of its log.
  std::signal(SIGPIPE, SIG_IGN);
  return endProcess(run(File));
}
