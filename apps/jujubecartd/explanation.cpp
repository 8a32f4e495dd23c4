#include "explanation.hpp"

#include <jujubecart/core/hash.hpp>

#include <algorithm>
#include <cmath>
#include <sstream>

namespace jujubecart::daemon {

namespace {

using decision::CallPreview;

constexpr double MilliPerUnit = 1000;
constexpr double Percent = 100;

template <typename... Parts> std::string text(const Parts &...All) {
  std::ostringstream Out;
  (Out << ... << All);
  return Out.str();
}

double rounded(double Value) { return std::round(Value * 10) / 10; }

bool hasSafeMethod(const std::string &Method) {
  return Method == "GET" || Method == "HEAD" || Method == "OPTIONS";
}

/// @return The refusal of the request because of its API key, if any.
std::optional<Refusal> checkKey(const core::WorkspaceTable &Workspaces,
                                const operators::ExplainQuery &Query,
                                bool KeysCount, Admission &Out) {
  const bool Public = Out.Route->Public;
  const bool Sent = Query.Key || !Query.Workspace.empty();
  if (!KeysCount) {
    Out.Key = Public ? KeyCheck::NotNeeded : KeyCheck::Unverifiable;
    return Public ? std::nullopt
                  : std::optional(Refusal{503,
                                          "API keys cannot be verified at the "
                                          "moment",
                                          std::nullopt});
  }
  for (const core::WorkspaceTable::Entry &Entry : Workspaces.entries())
    if (!Query.Workspace.empty() && Entry.Item.Name == Query.Workspace)
      Out.Workspace = Entry.Item;
  if (Query.Key)
    if (const core::Workspace *Found = Workspaces.find(*Query.Key))
      Out.Workspace = *Found;
  if (Out.Workspace)
    Out.Key = KeyCheck::Valid;
  else if (Sent)
    Out.Key = KeyCheck::Unknown;
  else
    Out.Key = Public ? KeyCheck::NotNeeded : KeyCheck::Missing;
  if (Out.Workspace || Public)
    return std::nullopt;
  return Refusal{401, Sent ? "unknown API key" : "no API key, or more than one",
                 std::nullopt};
}

/// @brief Refusal of a dispatcher, as the caller gets it.
Refusal refusalOf(const decision::Rejected &Rejection, bool Routed) {
  Refusal Out{.RetryAfter = Rejection.RetryAfter};
  switch (Rejection.Reason) {
  case core::Error::Overloaded:
    Out.Text = "overloaded";
    return Out;
  case core::Error::DeadlineExceeded:
    // A routed request that was not run may be sent again.
    Out.Status = Routed ? 503 : 504;
    Out.Text = "deadline exceeded";
    return Out;
  default:
    Out.Text = "no backend server available";
    return Out;
  }
}

/// @brief Collects the reasons in order.
class Explainer {
public:
  explicit Explainer(const KnownState &Known) : Known(Known) {}

  [[nodiscard]] Explanation run() {
    explainConfiguration();
    explainRoute();
    explainKey();
    if (refuse(Known.Admitted.Refused))
      return std::move(Out);
    if (Known.Admitted.NeedsOrderKey)
      add("order key", "needs an Idempotency-Key, else 400");
    if (explainQuota())
      return std::move(Out);
    if (Known.Policy != "dispatcher") {
      add("policy", Known.Policy + ": this VM chooses among the active servers "
                                   "of the service");
      return std::move(Out);
    }
    for (auto At = Known.Services.rbegin(); At != Known.Services.rend(); ++At)
      explainService(*At);
    return std::move(Out);
  }

private:
  void add(std::string Subject, std::string Text) {
    Out.Reasons.push_back({std::move(Subject), std::move(Text)});
  }

  bool refuse(const std::optional<Refusal> &Cause) {
    Out.Refused = Cause;
    if (!Cause)
      return false;
    Out.Result = Verdict::Rejected;
    add("rejected", text(Cause->Status, " ", Cause->Text));
    return true;
  }

  void explainConfiguration() {
    const Admission &Admitted = Known.Admitted;
    std::string Version = text("revision ", Admitted.Revision);
    if (Admitted.RoutingVersion)
      Version += text(", routing version ", *Admitted.RoutingVersion);
    add("configuration", Version);
    if (!Known.NotReady.empty())
      add("vm", Known.Vm + " is not ready: " + Known.NotReady);
  }

  void explainRoute() {
    if (!Known.Admitted.Route)
      return;
    const core::Route &Route = *Known.Admitted.Route;
    add("route", text(Route.Name, ": host ", Route.Host, ", path ",
                      Route.PathPrefix, "; priority ", int(Route.Priority),
                      ", at most ", Route.MaxAttempts, " servers, timeout ",
                      Route.TimeoutMs, " ms, objective ", Route.ObjectiveMs,
                      " ms", Route.Idempotent ? ", may run twice" : ""));
  }

  void explainKey() {
    const Admission &Admitted = Known.Admitted;
    if (Admitted.Route)
      add("API key",
          text(toString(Admitted.Key), Admitted.Route->Public ? "; the route "
                                                                "is public"
                                                              : ""));
    if (!Admitted.Workspace)
      return;
    const core::Workspace &Item = *Admitted.Workspace;
    add("workspace", Item.Priority
                         ? text(Item.Name, ", priority ", int(*Item.Priority))
                         : text(Item.Name, ", priority of the route"));
  }

  // A VM that hears no reports leaves the requests of other VMs to the next
  // dispatcher.
  bool refuseForOthers() {
    return refuse(Refusal{.Text = "no report of other VMs reaches " + Known.Vm +
                                  "; " + Known.Receiver +
                                  " asks the next dispatcher"});
  }

  /// @brief Whether this VM dispatches the most probable group.
  [[nodiscard]] bool decidesHere() const {
    return !Known.Services.empty() && !Known.Services.front().Groups.empty() &&
           Known.Services.front().Groups.front().dispatcher() == Known.Vm;
  }

  /// @return Whether the request is refused.
  bool explainQuota() {
    if (!Known.Quota)
      return false;
    const decision::QuotaPreview &Quota = *Known.Quota;
    if (!Quota.Quota.limited()) {
      add("quota", "no limit");
      return false;
    }
    std::string Line = text(
        rounded(Quota.Left), " requests left",
        Quota.Shared ? text(" in a window of ",
                            double(Quota.Window.count()) / MilliPerUnit, " s")
                     : "",
        " of ", double(Quota.Quota.MilliPerS) / MilliPerUnit,
        "/s and a burst of ", Quota.Quota.Burst, "; share of ", Known.Vm, " ",
        Quota.Decision.ShareMilli / 10.0, "%, known demand ",
        Quota.Decision.DemandPerS, "/s");
    if (Quota.Decision.ReportAge)
      Line +=
          text(", last report ", Quota.Decision.ReportAge->count(), " ms ago");
    if (!Quota.Shared)
      Line += "; no report reaches " + Known.Vm;
    if (!decidesHere())
      Line += "; the dispatcher decides";
    add("quota", Line);
    if (!Quota.Shared && !Known.Receiver.empty())
      return refuseForOthers();
    if (Quota.Decision.Admitted || !decidesHere())
      return false;
    return refuse(Refusal{.Status = 429,
                          .Text = "quota of the workspace exceeded",
                          .RetryAfter = Quota.Decision.RetryAfter});
  }

  // The most probable service and group come last, and decide.
  void explainService(const ServicePlan &Plan) {
    add("service",
        text(Plan.Service.Name, ", ", rounded(Plan.Service.SharePercent),
             "% of the requests"));
    Out.Server.clear();
    Out.Dispatcher.clear();
    if (Plan.Groups.empty()) {
      refuse(Refusal{.Text = Plan.Service.Known
                                 ? "no backend server available"
                                 : "the service has no backend server"});
      return;
    }
    for (auto At = Plan.Groups.rbegin(); At != Plan.Groups.rend(); ++At)
      explainGroup(*At);
  }

  void explainGroup(const peers::GroupPlan &Plan) {
    Out.Server.clear();
    Out.Dispatcher = Plan.dispatcher();
    const bool Here = Out.Dispatcher == Known.Vm;
    std::string Line = text(Plan.Group, ", ", rounded(Plan.SharePercent),
                            "%; dispatcher ", Out.Dispatcher);
    for (std::size_t At = 1; At < Plan.Dispatchers.size(); ++At)
      Line += (At == 1 ? ", then " : ", ") + Plan.Dispatchers[At];
    for (const std::string &Vm : Plan.Suspected)
      Line += "; " + Vm + " did not answer lately";
    add("group", Line);
    if (Here)
      explainDecision(Plan.Preview);
    else
      explainGuess(Plan);
  }

  // Another VM decides, which knows the calls in flight of all VMs.
  void explainGuess(const peers::GroupPlan &Plan) {
    Out.Result = Verdict::Asks;
    Out.Refused.reset();
    const std::string Basis = Plan.Known ? "the calls that it decided itself"
                                         : "the configuration only";
    add("by itself", text(Known.Vm, " knows ", Basis, " and would ",
                          decisionText(Plan.Preview)));
    add("asks", Out.Dispatcher);
  }

  [[nodiscard]] std::string decisionText(const CallPreview &Preview) const {
    if (!Preview.Outcome)
      return "let it wait";
    if (const auto *Grant = std::get_if<decision::Granted>(&*Preview.Outcome))
      return "send it to " + Grant->Server.Id;
    const Refusal Cause =
        refusalOf(std::get<decision::Rejected>(*Preview.Outcome),
                  Known.Admitted.Route.has_value());
    return text("reject it with ", Cause.Status, " ", Cause.Text);
  }

  void explainDecision(const CallPreview &Preview) {
    if (!Preview.Probed.empty())
      add("probes",
          text("asks ", Preview.Probed.size(),
               " servers for their pace first, from ", Preview.Probed.front()));
    Out.Refused.reset();
    if (!Preview.Outcome) {
      Out.Result = Verdict::Waits;
      add("waits", text("for a slot, with ", Preview.Waiting, " calls"));
      return;
    }
    if (const auto *Rejection =
            std::get_if<decision::Rejected>(&*Preview.Outcome)) {
      refuse(refusalOf(*Rejection, Known.Admitted.Route.has_value()));
      return;
    }
    Out.Result = Verdict::Sent;
    Out.Server = std::get<decision::Granted>(*Preview.Outcome).Server.Id;
    add("sent", "to " + Out.Server);
  }

  const KnownState &Known;
  Explanation Out;
};

} // namespace

Admission admit(const core::ConfigSnapshot &Config,
                const operators::ExplainQuery &Query, bool KeysCount) {
  Admission Out{.Revision = Config.revision()};
  const auto Refuse = [&](unsigned Status, const char *Text) {
    Out.Refused = Refusal{Status, Text, std::nullopt};
    return Out;
  };
  if (Config.revision() == 0)
    return Refuse(503, "no configuration available");
  const core::RoutingTable *Routing = Config.routing();
  if (Routing == nullptr) {
    const core::ServiceConfig *Service = Config.route(Query.Host, Query.Path);
    if (Service == nullptr)
      return Refuse(404, "no rule matches host and path");
    Out.NeedsOrderKey = Service->Kind == core::ServiceKind::Order ||
                        !hasSafeMethod(Query.Method);
    Out.Services.push_back({.Name = Service->Name});
    return Out;
  }
  Out.RoutingVersion = Routing->version();
  const core::Route *Route = Routing->find(Query.Host, Query.Path);
  if (Route == nullptr)
    return Refuse(404, "no rule matches host and path");
  Out.Route = *Route;
  if (Routing->workspaces().keysRequired())
    Out.Refused = checkKey(Routing->workspaces(), Query, KeysCount, Out);
  double Weights = 0;
  for (const core::WeightedService &Item : Route->Services)
    Weights += Item.Weight;
  for (const core::WeightedService &Item : Route->Services)
    Out.Services.push_back(
        {.Name = Item.Service,
         .SharePercent = Weights > 0 ? Percent * Item.Weight / Weights : 0,
         .Known = Config.find(Item.Service) != nullptr});
  std::stable_sort(Out.Services.begin(), Out.Services.end(),
                   [](const ServiceShare &Left, const ServiceShare &Right) {
                     return Left.SharePercent > Right.SharePercent;
                   });
  return Out;
}

Explanation explain(const KnownState &Known) { return Explainer(Known).run(); }

std::string_view toString(KeyCheck Check) noexcept {
  switch (Check) {
  case KeyCheck::NotNeeded:
    return "not needed";
  case KeyCheck::Valid:
    return "valid";
  case KeyCheck::Missing:
    return "missing";
  case KeyCheck::Unknown:
    return "unknown";
  case KeyCheck::Unverifiable:
    return "cannot be verified";
  }
  return "";
}

std::string_view toString(Verdict Result) noexcept {
  switch (Result) {
  case Verdict::Sent:
    return "sent";
  case Verdict::Asks:
    return "asks";
  case Verdict::Waits:
    return "waits";
  case Verdict::Rejected:
    return "rejected";
  case Verdict::Undecided:
    return "undecided";
  }
  return "";
}

} // namespace jujubecart::daemon
