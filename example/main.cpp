// Uses the dispatcher of the decision library on its own: six calls to two
// backend servers with one slot each. Time is simulated and there is no I/O.
#include <jujubecart/decision.hpp>

#include <iostream>

using namespace jujubecart;
using namespace std::chrono_literals;

int main() {
  core::ServiceConfig Service;
  Service.Name = "tags";
  for (const char *Id : {"tag-1", "tag-2"}) {
    core::BackendServer Server;
    Server.Id = Id;
    Server.Zone = "north";
    Server.Slots = 1;
    Service.Servers.push_back(Server);
  }

  decision::DispatcherOptions Options = decision::dispatcherOptions(Service, 1);
  Options.Margin = 0;
  core::TimePoint Now{1h};
  decision::GroupDispatcher Dispatcher(
      decision::dispatchGroups(Service).front(), Options, Now);

  decision::Decisions Out;
  for (decision::CallToken Token = 1; Token <= 6; ++Token) {
    decision::PendingCall Call;
    Call.Token = Token;
    Call.Holder = "vm-1";
    Call.Deadline = Now + 1s;
    Dispatcher.enqueue(Call, Now, Out);
  }

  // Each released slot goes to the next waiting call, whose grant is appended
  // to Out.
  std::size_t Served = 0;
  for (; Served < Out.size(); ++Served) {
    const auto *Grant = std::get_if<decision::Granted>(&Out[Served]);
    if (!Grant)
      break;
    std::cout << "call=" << Grant->Token << " server=" << Grant->Server.Id
              << '\n';
    Now += 10ms;
    core::CallReport Report;
    Report.Elapsed = 10ms;
    Dispatcher.release(Grant->GrantId, Report, Now, Out);
  }
  return Served == 6 ? 0 : 1;
}
