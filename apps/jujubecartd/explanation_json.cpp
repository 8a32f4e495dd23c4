#include "explanation.hpp"

#include <algorithm>
#include <cmath>

namespace jujubecart::daemon {

namespace {

using nlohmann::json;

double rounded(double Value) { return std::round(Value * 10) / 10; }

json refusalJson(const Refusal &Item) {
  json Out{{"status", Item.Status}, {"text", Item.Text}};
  if (Item.RetryAfter)
    Out["retry_after_ms"] = Item.RetryAfter->count();
  return Out;
}

json routeJson(const core::Route &Route) {
  return {{"name", Route.Name},
          {"host", Route.Host},
          {"path_prefix", Route.PathPrefix},
          {"key_optional", Route.Public},
          {"idempotent", Route.Idempotent},
          {"priority", Route.Priority},
          {"max_attempts", Route.MaxAttempts},
          {"timeout_ms", Route.TimeoutMs},
          {"objective_ms", Route.ObjectiveMs}};
}

json quotaJson(const decision::QuotaPreview &Quota) {
  json Out{{"limited", Quota.Quota.limited()},
           {"admitted", Quota.Decision.Admitted},
           {"shared", Quota.Shared},
           {"demand_per_s", Quota.Decision.DemandPerS}};
  if (Quota.Quota.limited()) {
    Out["milli_per_s"] = Quota.Quota.MilliPerS;
    Out["burst_requests"] = Quota.Quota.Burst;
    Out["window_ms"] = Quota.Window.count();
    Out["left"] = rounded(Quota.Left);
    Out["share_permille"] = Quota.Decision.ShareMilli;
  }
  if (Quota.Decision.ReportAge)
    Out["report_age_ms"] = Quota.Decision.ReportAge->count();
  return Out;
}

json serverJson(const decision::ServerPreview &Server,
                const KnownState &Known) {
  json Out{{"id", Server.Status.Id},
           {"verdict", decision::toString(Server.Verdict)},
           {"state", decision::toString(Server.Status.Health)},
           {"in_flight", Server.Status.InFlight},
           {"limit", Server.Status.Limit},
           {"service_time_us", Server.Status.ServiceTime.count()},
           {"zone", Server.Zone},
           {"other_zone", Server.OtherZone},
           {"cold", Server.Cold}};
  Out["zone_evacuated"] =
      std::find(Known.EvacuatedZones.begin(), Known.EvacuatedZones.end(),
                Server.Zone) != Known.EvacuatedZones.end();
  if (Server.RatePerS)
    Out["rate_per_s"] = rounded(*Server.RatePerS);
  if (Server.PacePercent) {
    Out["pace_percent"] = *Server.PacePercent;
    Out["pace_age_ms"] = Server.PaceAge.count();
  }
  if (Server.ObservedAge)
    Out["observed_age_ms"] = Server.ObservedAge->count();
  if (Server.TrialIn)
    Out["trial_in_ms"] = Server.TrialIn->count();
  if (Server.Estimate)
    Out["estimate"] = {
        {"in_time_percent", Server.Estimate->InTimePercent},
        {"score_milli", Server.Estimate->ScoreMilli},
        {"transfer_cost_milli", Server.Estimate->TransferCostMilli},
        {"late", Server.Estimate->Late},
        {"saturates", Server.Estimate->Saturates}};
  return Out;
}

json groupJson(const peers::GroupPlan &Plan, const KnownState &Known) {
  json Servers = json::array();
  for (const decision::ServerPreview &Server : Plan.Preview.Servers)
    Servers.push_back(serverJson(Server, Known));
  json Out{{"group", Plan.Group},
           {"region", Plan.Region},
           {"share_percent", rounded(Plan.SharePercent)},
           {"dispatcher", Plan.dispatcher()},
           {"dispatchers", Plan.Dispatchers},
           {"suspected", Plan.Suspected},
           {"excluded", Plan.Excluded},
           {"known", Plan.Known},
           {"waiting", Plan.Preview.Waiting},
           {"probed", Plan.Preview.Probed},
           {"servers", std::move(Servers)}};
  if (const auto Found = Known.Endpoints.find(Plan.dispatcher());
      Found != Known.Endpoints.end())
    Out["operators"] = Found->second;
  return Out;
}

json servicesJson(const KnownState &Known) {
  json Services = json::array();
  for (const ServicePlan &Plan : Known.Services) {
    json Groups = json::array();
    for (const peers::GroupPlan &Group : Plan.Groups)
      Groups.push_back(groupJson(Group, Known));
    Services.push_back({{"name", Plan.Service.Name},
                        {"share_percent", rounded(Plan.Service.SharePercent)},
                        {"groups", std::move(Groups)}});
  }
  return Services;
}

} // namespace

json toJson(const KnownState &Known, const Explanation &Explained) {
  const Admission &Admitted = Known.Admitted;
  json Reasons = json::array();
  for (const Reason &Item : Explained.Reasons)
    Reasons.push_back({{"subject", Item.Subject}, {"text", Item.Text}});
  json Out{{"vm", Known.Vm},
           {"zone", Known.Zone},
           {"policy", Known.Policy},
           {"revision", Admitted.Revision},
           {"verdict", toString(Explained.Result)},
           {"api_key", toString(Admitted.Key)},
           {"needs_order_key", Admitted.NeedsOrderKey},
           {"services", servicesJson(Known)},
           {"reasons", std::move(Reasons)}};
  if (Admitted.RoutingVersion)
    Out["routing_version"] = *Admitted.RoutingVersion;
  if (Admitted.Route)
    Out["route"] = routeJson(*Admitted.Route);
  if (Admitted.Workspace)
    Out["workspace"] = Admitted.Workspace->Name;
  if (Known.Quota)
    Out["quota"] = quotaJson(*Known.Quota);
  if (Explained.Refused)
    Out["rejected"] = refusalJson(*Explained.Refused);
  if (!Explained.Server.empty())
    Out["server"] = Explained.Server;
  if (!Explained.Dispatcher.empty())
    Out["dispatcher"] = Explained.Dispatcher;
  return Out;
}

} // namespace jujubecart::daemon
