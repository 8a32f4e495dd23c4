#include "commands.hpp"

#include <jujubecart/operators/settings_reader.hpp>

#include <CLI/CLI.hpp>
#include <iostream>

namespace jujubectl {

namespace internal {

ExitCode checkSettings(const std::string &File, bool Json) {
  jujubecart::core::Findings Report(File);
  (void)jujubecart::operators::readSettingsFile(File, Report);
  if (Json) {
    nlohmann::json Items = nlohmann::json::array();
    for (const auto &Item : Report.items())
      Items.push_back({{"file", Item.File},
                       {"pointer", Item.Pointer},
                       {"found", Item.Found},
                       {"expected", Item.Expected}});
    std::cout << Items.dump(2) << '\n';
  } else {
    std::cout << (Report.empty() ? File + ": valid\n" : Report.text());
  }
  return Report.empty() ? Success : InvalidInput;
}

/// @brief Defines the command line; parsing the arguments fills the option
/// values and runs the selected command.
class CommandLine {
public:
  CommandLine() {
    App.require_subcommand(1);
    App.fallthrough();
    App.footer("Exit codes: 0 done, 1 rejected or not found, 2 invalid input,\n"
               "3 unavailable (nothing was done), 4 outcome unknown,\n"
               "5 accepted but not yet in force on every live VM.");
    App.add_option("--endpoint", Target.Endpoint,
                   "IP:port of the operators' endpoint of any VM")
        ->envname("JUJUBECART_ENDPOINT")
        ->capture_default_str();
    App.add_option("--certificate", Target.Tls.Certificate,
                   "PEM file with certificate and key for mutual TLS");
    App.add_flag("--json", Json, "Print JSON instead of text");
    addTicket();
    addTimeline();
    addExplain();
    CLI::App *Service = App.add_subcommand("service", "Services in force");
    Service->require_subcommand(1);
    Service->add_subcommand("list", "List services")->callback([this] {
      Code = listServices(Target, Json);
    });
    App.add_subcommand("status", "Show VMs, their revision, backend servers")
        ->callback([this] { Code = showStatus(Target, Json); });
    addSettings();
  }

  [[nodiscard]] int run(int Count, char **Arguments) {
    try {
      App.parse(Count, Arguments);
    } catch (const CLI::ParseError &Failure) {
      return App.exit(Failure) == 0 ? Success : InvalidInput;
    }
    return Code;
  }

private:
  void addTicket() {
    CLI::App *Ticket = App.add_subcommand("ticket", "Change tickets");
    Ticket->require_subcommand(1);
    CLI::App *SubmitApp =
        Ticket->add_subcommand("submit", "Submit a ticket file");
    SubmitApp->add_option("file", Submit.File, "JSON file")->required();
    SubmitApp->add_flag("--wait", Submit.Wait,
                        "Wait until it is in force on every live VM");
    SubmitApp->add_option("--wait-s", Submit.WaitS, "Longest wait in seconds")
        ->capture_default_str();
    SubmitApp->callback([this] {
      Submit.Json = Json;
      Code = submitTicket(Target, Submit);
    });
    CLI::App *Show = Ticket->add_subcommand("show", "Show a ticket");
    Show->add_option("number", Number, "Ticket number")->required();
    Show->callback([this] { Code = showTicket(Target, Number, Json); });
  }

  void addTimeline() {
    CLI::App *Command =
        App.add_subcommand("timeline", "Show the events of all VMs in order");
    Command->add_option("--request", Timeline.Request, "Only this request id");
    Command->add_option("--order-key", Timeline.OrderKey,
                        "Only this order key hash");
    Command->add_option("--ticket", Timeline.Ticket, "Only this ticket");
    Command->add_option("--server", Timeline.Server,
                        "Only this backend server");
    Command->add_option("--vm", Timeline.Vm, "Only this VM");
    Command->add_flag("--follow", Timeline.Follow, "Print new events as well");
    Command->add_option("--html", Timeline.HtmlFile,
                        "Write a self-contained HTML page to this file");
    Command->callback([this] {
      Timeline.Json = Json;
      Code = showTimeline(Target, Timeline);
    });
  }

  void addExplain() {
    CLI::App *Command = App.add_subcommand(
        "explain", "Show where a request would go now, without sending it");
    Command->add_option("host", Explain.Host, "Host of the request")
        ->required();
    Command->add_option("path", Explain.Path, "Path of the request")
        ->capture_default_str();
    Command->add_option("--method", Explain.Method, "HTTP method")
        ->capture_default_str();
    // The API key itself would show up in the list of processes.
    auto *Workspace = Command->add_option("--workspace", Explain.Workspace,
                                          "Workspace of the caller");
    Command
        ->add_option("--key-file", Explain.KeyFile,
                     "File with the caller's API key, - for standard input")
        ->excludes(Workspace);
    Command->callback([this] {
      Explain.Json = Json;
      Code = explainRequest(Target, Explain);
    });
  }

  void addSettings() {
    CLI::App *Settings = App.add_subcommand("settings", "Settings files");
    Settings->require_subcommand(1);
    CLI::App *Check = Settings->add_subcommand(
        "check", "Report every problem of a settings file");
    Check->add_option("file", File, "JSON file")->required();
    Check->callback([this] { Code = checkSettings(File, Json); });
  }

  CLI::App App{"Operates a jujubecart fleet.", "jujubectl"};
  ConnectionOptions Target{.Endpoint = "127.0.0.1:8081"};
  bool Json = false;
  SubmitOptions Submit;
  TimelineOptions Timeline;
  ExplainOptions Explain;
  std::uint64_t Number = 0;
  std::string File;
  ExitCode Code = Success;
};

} // namespace internal

} // namespace jujubectl

int main(int Count, char **Arguments) {
  return jujubectl::internal::CommandLine().run(Count, Arguments);
}
