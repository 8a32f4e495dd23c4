#ifndef JUJUBECART_APPS_JUJUBECARTD_EXPLANATION_HPP
#define JUJUBECART_APPS_JUJUBECARTD_EXPLANATION_HPP

#include <jujubecart/core/config_snapshot.hpp>
#include <jujubecart/decision/workspace_quotas.hpp>
#include <jujubecart/operators/explain_query.hpp>
#include <jujubecart/peers/dispatch_plan.hpp>

#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace jujubecart::daemon {

/// @brief A response that the VM itself gives.
struct Refusal {
  unsigned Status = 503;
  std::string Text;
  std::optional<std::chrono::milliseconds> RetryAfter;

  friend auto operator<=>(const Refusal &, const Refusal &) = default;
};

/// @brief Whether the API key of a request counts.
enum class KeyCheck : std::uint8_t {
  /// There are no workspaces, or the route is public and no key is sent.
  NotNeeded,
  Valid,
  Missing,
  Unknown,
  /// The configuration of this VM is too old to tell.
  Unverifiable,
};

/// @brief Name of a result, such as `not needed`.
[[nodiscard]] std::string_view toString(KeyCheck Check) noexcept;

/// @brief Service to which a share of the matching requests goes.
struct ServiceShare {
  std::string Name;
  double SharePercent = 100;
  /// Whether the configuration has the service.
  bool Known = true;

  friend auto operator<=>(const ServiceShare &, const ServiceShare &) = default;
};

/// @brief What the configuration alone says about a request.
struct Admission {
  core::Revision Revision = 0;
  /// Version of the routing table; empty without one, so that the rules of the
  /// services apply.
  std::optional<std::uint64_t> RoutingVersion;
  /// Set if a route of the routing table matches.
  std::optional<core::Route> Route;
  KeyCheck Key = KeyCheck::NotNeeded;
  std::optional<core::Workspace> Workspace;
  std::vector<ServiceShare> Services;
  /// Whether the request is rejected without an Idempotency-Key.
  bool NeedsOrderKey = false;
  std::optional<Refusal> Refused;
};

/// @brief Applies the rules of `callers` to a request.
/// @param KeysCount Whether the configuration is recent enough for API keys.
[[nodiscard]] Admission admit(const core::ConfigSnapshot &Config,
                              const operators::ExplainQuery &Query,
                              bool KeysCount);

/// @brief Dispatch groups of a service from which the request may get a server.
struct ServicePlan {
  ServiceShare Service;
  std::vector<peers::GroupPlan> Groups;
};

/// @brief All that a VM knows about a request.
struct KnownState {
  std::string Vm;
  std::string Zone;
  /// Id of the VM that received the request; empty if it is this one.
  std::string Receiver;
  /// The `policy` of the settings; groups are planned only with `dispatcher`.
  std::string Policy = "dispatcher";
  /// Why the VM is not ready; empty if it is.
  std::string NotReady;
  Admission Admitted;
  /// Set if the caller has a workspace.
  std::optional<decision::QuotaPreview> Quota;
  std::vector<ServicePlan> Services;
  /// Their servers count as draining.
  std::vector<std::string> EvacuatedZones;
  /// `IP:port` of the operators' endpoints of the known VMs, by id.
  std::map<std::string, std::string> Endpoints;
};

/// @brief One step of the way of a request, in words.
struct Reason {
  std::string Subject;
  std::string Text;

  friend auto operator<=>(const Reason &, const Reason &) = default;
};

enum class Verdict : std::uint8_t {
  /// It would be sent to a backend server at once.
  Sent,
  /// Another VM, the dispatcher, would be asked.
  Asks,
  /// It would wait for a slot.
  Waits,
  Rejected,
  /// The policy decides by chance on this VM.
  Undecided,
};

/// @brief Name of a verdict in lower case, such as `sent`.
[[nodiscard]] std::string_view toString(Verdict Result) noexcept;

/// @brief Where a request would go now, and why.
struct Explanation {
  Verdict Result = Verdict::Undecided;
  /// Set if the verdict is Rejected.
  std::optional<Refusal> Refused;
  /// VM that decides in the most probable group; empty if none does.
  std::string Dispatcher;
  /// Id of the server to which it would be sent; empty if it is not sent.
  std::string Server;
  /// In the order in which a request meets them; the last one decides.
  std::vector<Reason> Reasons;

  friend auto operator<=>(const Explanation &, const Explanation &) = default;
};

/// @brief Explains a request. Of several services and groups, the most probable
/// one gives the verdict.
[[nodiscard]] Explanation explain(const KnownState &Known);

/// @brief The response of `GET /explain`.
[[nodiscard]] nlohmann::json toJson(const KnownState &Known,
                                    const Explanation &Explained);

} // namespace jujubecart::daemon

#endif
