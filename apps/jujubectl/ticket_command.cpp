#include "commands.hpp"

#include <jujubecart/core/error.hpp>
#include <jujubecart/operators/text_file.hpp>

#include <iostream>
#include <thread>

namespace jujubectl {

namespace internal {

namespace core = jujubecart::core;

constexpr std::chrono::milliseconds PollInterval{200};

ExitCode toExitCode(const std::string &State) {
  if (State == "accepted")
    return Success;
  if (State == "invalid")
    return InvalidInput;
  if (State == "unavailable")
    return Unavailable;
  if (State == "beaten" || State == "number-reused" || State == "not-accepted")
    return Rejected;
  // Also a state that this version does not know: exit codes of a refusal
  // promise that nothing was changed.
  return OutcomeUnknown;
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

ExitCode
reportTicket(const core::Result<jujubecart::operators::Response> &Result,
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
  return toExitCode(Body["state"].get<std::string>());
}

// Returns the VMs that have not yet applied the revision or cannot be reached;
// VMs that are leaving are not waited for. Reached is set to whether the
// endpoint in Target has answered.
std::vector<std::string> findOutdatedVms(const ConnectionOptions &Target,
                                         std::uint64_t Revision,
                                         bool &Reached) {
  std::vector<std::string> Outdated;
  const std::vector<VmResponse> Vms = fetchFromAllVms(Target, "/status");
  Reached = !Vms.empty();
  for (const VmResponse &Vm : Vms)
    if (Vm.State != "leaving" &&
        (Vm.Body.is_null() || Vm.Body.value("revision", 0U) < Revision))
      Outdated.push_back(Vm.Vm);
  return Outdated;
}

ExitCode waitUntilInForce(const ConnectionOptions &Target,
                          std::uint64_t Revision,
                          std::chrono::steady_clock::time_point Deadline) {
  while (true) {
    bool Reached = false;
    const std::vector<std::string> Outdated =
        findOutdatedVms(Target, Revision, Reached);
    if (Reached && Outdated.empty()) {
      std::cout << "in force on every live VM\n";
      return Success;
    }
    if (std::chrono::steady_clock::now() >= Deadline) {
      std::cout << "not in force on:";
      for (const std::string &Vm : Outdated)
        std::cout << ' ' << Vm;
      std::cout << (Reached ? "\n" : " (endpoint unreachable)\n");
      return NotYetInForce;
    }
    std::this_thread::sleep_for(PollInterval);
  }
}

} // namespace internal

ExitCode submitTicket(const ConnectionOptions &Target,
                      const SubmitOptions &Options) {
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
  return internal::waitUntilInForce(Target, Body.value("revision", 0U),
                                    std::chrono::steady_clock::now() +
                                        std::chrono::seconds(Options.WaitS));
}

ExitCode showTicket(const ConnectionOptions &Target, std::uint64_t Number,
                    bool Json) {
  nlohmann::json Body;
  return internal::reportTicket(
      Target.client(Target.Endpoint)
          .fetch("/tickets/" + std::to_string(Number)),
      Json, Body);
}

} // namespace jujubectl
