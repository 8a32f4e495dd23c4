#include "explain_request.hpp"

#include "daemon_options.hpp"

#include <jujubecart/core/hash.hpp>

#include <algorithm>

namespace jujubecart::daemon {

namespace {

using std::chrono::milliseconds;

bool keysCount(const ApiEnvironment &Env,
               const callers::ServerOptions &Options) {
  if (Env.Freshness == nullptr)
    return true;
  const auto CompleteUntil = Env.Freshness->completeUntil();
  return CompleteUntil &&
         Env.Time.uptime() - *CompleteUntil <= Options.MaxKeyAge;
}

/// @brief The slot request of a call that arrives now and states no deadline.
core::SlotRequest slotRequest(const Admission &Admitted,
                              const core::ServiceConfig &Service,
                              const callers::ServerOptions &Options,
                              core::TimePoint Now) {
  core::SlotRequest Out{
      .Service = Service.Name,
      .Request = {},
      .Deadline = Now + std::min(Options.MaxDeadline,
                                 milliseconds(Service.DefaultDeadlineMs)),
      .Priority = Service.Priority,
      .WorkClass = core::hash64(Service.Name)};
  if (const auto &Route = Admitted.Route) {
    Out.Priority = Route->Priority;
    Out.WorkClass = core::hash64(Route->Name);
    if (Route->TimeoutMs != 0)
      Out.Deadline =
          std::min(Out.Deadline, Now + milliseconds(Route->TimeoutMs));
    if (Route->ObjectiveMs != 0)
      Out.Objective = Now + milliseconds(Route->ObjectiveMs);
  }
  if (const auto &Workspace = Admitted.Workspace) {
    Out.Priority = Workspace->Priority.value_or(Out.Priority);
    Out.Workspace = Workspace->hash();
  }
  return Out;
}

} // namespace

KnownState explainedState(const ApiEnvironment &Env,
                          const operators::ExplainQuery &Query,
                          std::string NotReady) {
  const callers::ServerOptions Options = callerOptions(Env.Settings);
  // Before the configuration, which may be replaced in between. The VM that
  // received a request has verified its key.
  const bool KeysCount = !Query.Vm.empty() || keysCount(Env, Options);
  const core::ConfigSource::Snapshot Config = Env.Config.current();
  KnownState Out{.Vm = Env.Settings.Vm.Id,
                 .Zone = Env.Settings.Vm.Zone,
                 .Receiver = Query.Vm == Env.Settings.Vm.Id ? "" : Query.Vm,
                 .Policy = Env.Settings.Policy,
                 .NotReady = std::move(NotReady),
                 .Admitted = admit(*Config, Query, KeysCount)};
  for (const core::Member &Vm : Env.Peers.members().members())
    Out.Endpoints.emplace(Vm.Id, Vm.OperatorsAddress);
  if (Out.Admitted.Refused || Out.Policy != "dispatcher")
    return Out;
  if (Out.Admitted.Workspace)
    Out.Quota =
        Env.Peers.dispatch().previewQuota(Out.Admitted.Workspace->hash());
  for (const ServiceShare &Share : Out.Admitted.Services) {
    ServicePlan Plan{.Service = Share, .Groups = {}};
    if (const core::ServiceConfig *Service = Config->find(Share.Name)) {
      peers::PlannedRequest Request{
          .Slot = slotRequest(Out.Admitted, *Service, Options, Env.Time.now()),
          .Group = Query.Group,
          .Vm = Out.Receiver};
      Request.Slot.Excluded = Query.Excluded;
      Plan.Groups = Env.Peers.broker().plan(Request);
    }
    // A query for one group names one of one service.
    if (Query.Group.empty() || !Plan.Groups.empty())
      Out.Services.push_back(std::move(Plan));
  }
  return Out;
}

} // namespace jujubecart::daemon
