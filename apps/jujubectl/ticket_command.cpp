#include "commands.hpp"

#include <jujubecart/core/error.hpp>
#include <jujubecart/operators/text_file.hpp>

#include <iostream>
#include <thread>

namespace jujubectl {

namespace internal {

namespace core = jujubecart::core;

constexpr std::chrono::milliseconds PollInterval{200};

ExitCode exitCodeOf(const std::string &State) {
  if (State == "accepted")
    return Success;
  if (State == "invalid")
    return InvalidInput;
  if (State == "unknown")
    return OutcomeUnknown;
  if (State == "unavailable")
    return Unavailable;
  return Rejected;
}

void printTicket(const nlohmann::json &Body, bool Json) {
  if (Json) {
    std::cout << Body.dump(2) << '\n';
    return;
  }
  std::cout << "ticket " << Body.value("ticket", 0) << ": "
            << Body.value("state", "unrecognized answer");
  if (Body.contains("revision"))
    std::cout << ", revision " << Body["revision"];
  if (Body.contains("beaten_by"))
    std::cout << " by ticket " << Body["beaten_by"];
  if (Body.contains("reason"))
    std::cout << ": " << Body["reason"].get<std::string>();
  std::cout << '\n';
  for (const nlohmann::json &Item :
       Body.value("findings", nlohmann::json::array()))
    std::cout << "  " << Item.value("pointer", "") << ": found "
              << Item.value("found", "") << ", expected "
              << Item.value("expected", "") << '\n';
}

ExitCode reportTicket(const core::Result<jujubecart::operators::Answer> &Result,
                      bool Json, nlohmann::json &Body) {
  if (!Result) {
    std::cerr << "jujubectl: " << Result.error().message() << '\n';
    return Result.error() == make_error_code(core::Error::OutcomeUnknown)
               ? OutcomeUnknown
               : Unavailable;
  }
  Body = nlohmann::json::parse(Result->Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("state")) {
    std::cerr << "jujubectl: HTTP " << Result->Status << ": " << Result->Body
              << '\n';
    return Result->Status < 500 ? InvalidInput : OutcomeUnknown;
  }
  printTicket(Body, Json);
  return exitCodeOf(Body["state"].get<std::string>());
}

// VMs that are leaving are not waited for.
std::vector<std::string> vmsBehind(const Connection &Target,
                                   std::uint64_t Revision, bool &Reached) {
  std::vector<std::string> Behind;
  const std::vector<VmAnswer> Vms = fetchFromAll(Target, "/status");
  Reached = !Vms.empty();
  for (const VmAnswer &Vm : Vms)
    if (Vm.State != "leaving" &&
        (Vm.Body.is_null() || Vm.Body.value("revision", 0U) < Revision))
      Behind.push_back(Vm.Vm);
  return Behind;
}

ExitCode waitInForce(const Connection &Target, std::uint64_t Revision,
                     std::chrono::steady_clock::time_point Deadline) {
  while (true) {
    bool Reached = false;
    const std::vector<std::string> Behind =
        vmsBehind(Target, Revision, Reached);
    if (Reached && Behind.empty()) {
      std::cout << "in force on every live VM\n";
      return Success;
    }
    if (std::chrono::steady_clock::now() >= Deadline) {
      std::cout << "not in force on:";
      for (const std::string &Vm : Behind)
        std::cout << ' ' << Vm;
      std::cout << (Reached ? "\n" : " (endpoint unreachable)\n");
      return NotYetInForce;
    }
    std::this_thread::sleep_for(PollInterval);
  }
}

} // namespace internal

ExitCode submitTicket(const Connection &Target, const SubmitOptions &Options) {
  const auto Text = jujubecart::operators::readTextFile(Options.File);
  if (!Text) {
    std::cerr << "jujubectl: cannot read \"" << Options.File
              << "\" or it is empty\n";
    return InvalidInput;
  }
  nlohmann::json Body;
  const ExitCode Code = internal::reportTicket(
      Target.client(Target.Endpoint).post("/tickets", *Text), Options.Json,
      Body);
  if (Code != Success || !Options.Wait)
    return Code;
  return internal::waitInForce(Target, Body.value("revision", 0U),
                               std::chrono::steady_clock::now() +
                                   std::chrono::seconds(Options.WaitS));
}

ExitCode showTicket(const Connection &Target, std::uint64_t Number, bool Json) {
  nlohmann::json Body;
  return internal::reportTicket(
      Target.client(Target.Endpoint)
          .fetch("/tickets/" + std::to_string(Number)),
      Json, Body);
}

} // namespace jujubectl
